package settings

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineAt returns the line number, from 1, of an offset in a text.
func lineAt(text []byte, offset int) int { return 1 + bytes.Count(text[:offset], []byte("\n")) }

// keyPositions returns the offset of each key in a valid TOML text, by the key's path, such as txn_types[1].value. The position of a
// table is that of its header.
func keyPositions(text []byte) map[string]int {
	positions, tables, prefix := keyOffsets{}, map[string]int{}, ""
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		switch expression := parser.Expression(); expression.Kind {
		case unstable.ArrayTable:
			name, offset := joinKey("", expression.Key())
			path := fmt.Sprintf("%s[%d]", name, tables[name])
			tables[name]++
			positions[path], prefix = offset, path+"."
		case unstable.Table:
			path, offset := joinKey("", expression.Key())
			positions[path], prefix = offset, path+"."
		case unstable.KeyValue:
			positions.addValue(prefix, expression)
		}
	}
	return positions
}

// joinKey returns the prefix with the parts of a dotted key appended, and the offset of the first part.
func joinKey(prefix string, parts unstable.Iterator) (path string, offset int) {
	offset = -1
	for parts.Next() {
		path = prefix + string(parts.Node().Data)
		if offset < 0 {
			offset = int(parts.Node().Raw.Offset)
		}
		prefix = path + "."
	}
	return path, offset
}

// keyOffsets are the offsets of keys in a text, by path.
type keyOffsets map[string]int

// addValue adds a key and the keys nested in its value.
func (o keyOffsets) addValue(prefix string, node *unstable.Node) {
	switch node.Kind {
	case unstable.KeyValue:
		path, _ := joinKey(prefix, node.Key())
		o[path] = int(node.Raw.Offset)
		o.addValue(path, node.Value())
	case unstable.InlineTable:
		for children := node.Children(); children.Next(); {
			o.addValue(prefix+".", children.Node())
		}
	case unstable.Array:
		index := 0
		for children := node.Children(); children.Next(); index++ {
			path := fmt.Sprintf("%s[%d]", prefix, index)
			o[path] = o[prefix]
			o.addValue(path, children.Node())
		}
	}
}
