package settings

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineAt returns the number of the line at an offset of a text.
func lineAt(text []byte, offset int) int { return 1 + bytes.Count(text[:offset], []byte("\n")) }

// keyPositions returns the offset of each key of a TOML text that has been decoded without an error, by its path, like
// txn_types[1].value. A table is at its header.
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

// joinKey returns a dotted key behind a prefix, and where it begins.
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

// keyOffsets are offsets in a text, by path.
type keyOffsets map[string]int

// addValue adds the keys of a value.
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
