package settings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"wayloft/internal/decide/policy"
	"wayloft/router"
)

const longestName = policy.MaxFieldNameBytes - 32 // bytes, so that a field's name has room for the rest

// policyReader makes a document's fields of its text, and keeps all that is wrong with it.
type policyReader struct {
	text   []byte
	places map[string]int // by path, like txn_types[1].value: offset in the text
	fields policy.Document
	at     map[string]string // by field: its path
	wrong  []error
}

// ReadPolicy reads a policy as people write it, TOML, and gives its fields:
//
//	over_share_value = 0.2
//	[[txn_types]]              # name, and any of value, late_value; effect, level, scope, bound, window, deadline are strict
//	[[tenants]]                # name, and rate
//
// Its error names everything that is wrong, a line each, with line and key. A strict field is read like any other: whether it
// may differ from what is in force is policy.ValidateChange's to say.
func ReadPolicy(text []byte) (policy.Document, error) {
	if len(text) > policy.MaxDocumentBytes {
		return nil, fmt.Errorf("policy: %d bytes, %d at most", len(text), policy.MaxDocumentBytes)
	}
	if at := invalid(text); at >= 0 {
		return nil, fmt.Errorf("line %d: not UTF-8", line(text, at))
	}
	all := map[string]any{}
	if err := toml.Unmarshal(text, &all); err != nil {
		return nil, wrong(err)
	}
	r := &policyReader{text: text, places: places(text), fields: policy.Document{}, at: map[string]string{}}
	r.top(all)
	for _, f := range policy.ValidateChange(nil, r.fields) {
		if class, _ := policy.Classify(f.Field); class == policy.ClassLenient || f.Field == "" {
			r.fail(r.at[f.Field], "%s", f.Reason)
		}
	}
	if len(r.wrong) > 0 {
		return nil, errors.Join(r.wrong...)
	}
	return r.fields, nil
}

// invalid gives the offset of the first byte that is not UTF-8; -1: all are.
func invalid(text []byte) int {
	for at := 0; at < len(text); {
		r, size := utf8.DecodeRune(text[at:])
		if r == utf8.RuneError && size <= 1 {
			return at
		}
		at += size
	}
	return -1
}

func line(text []byte, at int) int { return 1 + strings.Count(string(text[:at]), "\n") }

// places tells where each key of a text that has been decoded begins. What a table says of itself begins with its header.
func places(text []byte) map[string]int {
	all, counts, prefix := map[string]int{}, map[string]int{}, ""
	p := unstable.Parser{}
	p.Reset(text)
	path := func(under string, keys unstable.Iterator) (whole string, at int) {
		at = -1
		for keys.Next() {
			if whole = under + string(keys.Node().Data); at < 0 {
				at = int(keys.Node().Raw.Offset)
			}
			under = whole + "."
		}
		return whole, at
	}
	var walk func(under string, n *unstable.Node)
	walk = func(under string, n *unstable.Node) {
		switch n.Kind {
		case unstable.KeyValue:
			whole, _ := path(under, n.Key())
			all[whole] = int(n.Raw.Offset)
			walk(whole, n.Value())
		case unstable.InlineTable:
			for of := n.Children(); of.Next(); {
				walk(under+".", of.Node())
			}
		case unstable.Array:
			i := 0
			for of := n.Children(); of.Next(); i++ {
				one := fmt.Sprintf("%s[%d]", under, i)
				all[one] = all[under]
				walk(one, of.Node())
			}
		}
	}
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.ArrayTable:
			whole, at := path("", e.Key())
			one := fmt.Sprintf("%s[%d]", whole, counts[whole])
			counts[whole]++
			all[one], prefix = at, one+"."
		case unstable.Table:
			whole, at := path("", e.Key())
			all[whole], prefix = at, whole+"."
		case unstable.KeyValue:
			walk(prefix, e)
		}
	}
	return all
}

// fail notes what is wrong at a path: at its line, or that of what it is in.
func (r *policyReader) fail(path, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if path == "" {
		r.wrong = append(r.wrong, errors.New(what))
		return
	}
	for in := path; ; {
		if at, known := r.places[in]; known {
			r.wrong = append(r.wrong, fmt.Errorf("line %d: %s: %s", line(r.text, at), path, what))
			return
		}
		up := strings.LastIndexAny(in, ".[")
		if up < 0 {
			r.wrong = append(r.wrong, fmt.Errorf("%s: %s", path, what))
			return
		}
		in = in[:up]
	}
}

// set notes a field's value.
func (r *policyReader) set(field, value, path string) { r.fields[field], r.at[field] = value, path }

// ownKeys are of each router's own file; keys of a table that are its own to say.
var (
	ownKeys = map[string]bool{"name": true, "listen": true, "discovery": true, "seed": true, "limits": true, "fleet": true, "members": true,
		"pools": true, "txn_types.sla": true}
	noSuchKey = map[bool]string{false: "no such key", true: "is each router's own file's to say, not the policy's"}
)

func (r *policyReader) top(all map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(all)) {
		switch key {
		case "over_share_value":
			r.number(key, key, all[key])
		case "txn_types", "tenants":
			r.tables(key, all[key])
		default:
			r.fail(key, "%s", noSuchKey[ownKeys[key]])
		}
	}
}

// tables reads [[txn_types]] or [[tenants]].
func (r *policyReader) tables(table string, v any) {
	rows, ok := v.([]any)
	if !ok {
		r.fail(table, "must be written [[%s]], one for each name", table)
		return
	}
	first := map[string]int{}
	for n, row := range rows {
		path := fmt.Sprintf("%s[%d]", table, n)
		keys, ok := row.(map[string]any)
		if !ok {
			r.fail(path, "must be a table")
			continue
		}
		name, _ := keys["name"].(string)
		before, twice := first[name]
		switch {
		case name == "":
			r.fail(path+".name", "must be given, a text")
		case len(name) > longestName:
			r.fail(path+".name", "%d bytes, %d at most", len(name), longestName)
			continue
		case twice:
			r.fail(path+".name", "%q: is %s[%d] already", name, table, before)
		case len(keys) == 1:
			r.fail(path, "nothing is said of %q", name)
		}
		if !twice {
			first[name] = n
		}
		for _, key := range slices.Sorted(maps.Keys(keys)) {
			if key != "name" {
				r.field(table, name, key, path+"."+key, keys[key])
			}
		}
	}
}

// field reads one key of a table; without a name it is looked at all the same, to tell what else is wrong.
func (r *policyReader) field(table, name, key, path string, v any) {
	field := table + "." + cmp.Or(name, "?") + "." + key
	if class, _ := policy.Classify(field); class == policy.ClassUnknown {
		r.fail(path, "%s", noSuchKey[ownKeys[table+"."+key]])
		return
	}
	var words []string
	switch key {
	case "effect":
		words = slices.Sorted(maps.Keys(fileEffects))
	case "scope":
		words = slices.Sorted(maps.Keys(fileScopes))
	case "level":
		words = slices.Sorted(maps.Keys(levels))
	case "bound", "window", "expiry":
		var d Duration
		text, ok := v.(string)
		if !ok {
			r.fail(path, "must be a time like 250ms or 2s, in quotes")
		} else if err := d.UnmarshalText([]byte(text)); err != nil {
			r.fail(path, "%v", err)
		} else {
			r.set(field, time.Duration(float64(d)*float64(time.Millisecond)).String(), path)
		}
		return
	default:
		x, ok := r.number(field, path, v)
		if ok && key == "value" && x == 0 {
			r.fail(path, "must be more than 0: else nothing could be weighed against it")
		} else if ok && key == "late_value" && x > 1 {
			r.fail(path, "must be from 0 to 1, a share of the value, not %v", x)
		}
		return
	}
	if word, _ := v.(string); slices.Contains(words, word) {
		r.set(field, word, path)
	} else {
		r.fail(path, "must be one of %s, not %v", strings.Join(words, ", "), v)
	}
}

// number reads a number; its bounds are the policy's own.
func (r *policyReader) number(field, path string, v any) (x float64, ok bool) {
	switch n := v.(type) {
	case int64:
		x, ok = float64(n), true
	case float64:
		x, ok = n+0, true // -0 is 0
	default:
		r.fail(path, "must be a number, without quotes or unit")
		return 0, false
	}
	r.set(field, policy.FormatNumber(x), path)
	return x, true
}

// Overlay gives a router's own settings with what the policy says instead. Its error names everything that this router can't
// take; then it stays with what it has. own stays as it is, and shares with what is given all that a policy doesn't say.
func Overlay(own *router.Settings, d policy.Document) (*router.Settings, error) {
	next := *own
	next.RequestClasses, next.Tenants = maps.Clone(own.RequestClasses), maps.Clone(own.Tenants)
	if next.Tenants == nil {
		next.Tenants = map[string]float64{}
	}
	changed := map[string]*router.RequestClass{}
	var wrong []error
	fail := func(format string, args ...any) { wrong = append(wrong, fmt.Errorf(format, args...)) }
	unsound := map[string]bool{}
	for _, f := range policy.ValidateChange(nil, d) {
		unsound[f.Field] = true
		fail("%s: %s", f.Field, f.Reason)
	}
	missing := map[string]bool{}
	for _, field := range slices.Sorted(maps.Keys(d)) {
		table, name, key, _ := policy.SplitField(field)
		if unsound[field] {
			continue
		}
		x, _ := strconv.ParseFloat(d[field], 64) // Judge has found it sound
		switch {
		case table == "tenants":
			next.Tenants[name] = x
			continue
		case table == "":
			next.OverQuotaWeight = x
			continue
		case own.RequestClasses[name] == nil:
			if !missing[name] {
				fail("no such txn type %q", name)
			}
			missing[name] = true
			continue
		}
		kind := changed[name]
		if kind == nil {
			kind = &router.RequestClass{}
			*kind = *own.RequestClasses[name]
			changed[name], next.RequestClasses[name] = kind, kind
		}
		switch {
		case key == "late_value" && x > 1:
			fail("%s: must be from 0 to 1, not %s", field, d[field])
		case key == "late_value":
			kind.LateWeightShare = x
		case x == 0:
			fail("%s: must be more than 0", field)
		default:
			kind.PriorityWeight = x
		}
	}
	if len(wrong) > 0 {
		return nil, errors.Join(wrong...)
	}
	return &next, nil
}

// written is a policy as people write it.
type written struct {
	OverShare *float64      `toml:"over_share_value,omitempty"`
	Types     []writtenType `toml:"txn_types,omitempty"`
	Tenants   []writtenRate `toml:"tenants,omitempty"`
}

type writtenType struct {
	Name      string   `toml:"name"`
	Value     *float64 `toml:"value,omitempty"`
	LateValue *float64 `toml:"late_value,omitempty"`
}

type writtenRate struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
}

// WritePolicy gives a document in the form that ReadPolicy takes. Its error names a field that the form has no place for.
func WritePolicy(d policy.Document) ([]byte, error) {
	var out written
	types := map[string]*writtenType{}
	for _, field := range slices.Sorted(maps.Keys(d)) {
		table, name, key, _ := policy.SplitField(field)
		x, err := strconv.ParseFloat(d[field], 64)
		class, _ := policy.Classify(field)
		switch {
		case err != nil || class != policy.ClassLenient:
			return nil, fmt.Errorf("%s = %q: this build has no place for it", field, d[field])
		case table == "tenants":
			out.Tenants = append(out.Tenants, writtenRate{name, x})
			continue
		case table == "":
			out.OverShare = &x
			continue
		case types[name] == nil:
			types[name] = &writtenType{Name: name}
		}
		if key == "value" {
			types[name].Value = &x
		} else {
			types[name].LateValue = &x
		}
	}
	for _, name := range slices.Sorted(maps.Keys(types)) {
		out.Types = append(out.Types, *types[name])
	}
	return toml.Marshal(out)
}
