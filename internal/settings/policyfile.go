package settings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"

	"wayloft/internal/decide/policy"
)

// maxPolicyNameBytes is the longest name of a request class or tenant in a policy. It leaves room for the table and key in the field name.
const maxPolicyNameBytes = policy.MaxFieldNameBytes - 32

// Keys of a policy file, and of its tables.
const (
	keyOverShareValue = "over_share_value"
	keyRequestClasses = "txn_types"
	keyTenants        = "tenants"
	keyName           = "name"
	keyValue          = "value"
	keyLateValue      = "late_value"
)

// policyReader collects the fields of a policy file and all errors in it.
type policyReader struct {
	text      []byte
	positions map[string]int // offsets in the text, by path, such as txn_types[1].value
	fields    policy.Document
	paths     map[string]string // in the text, by field
	errs      []error
}

// ReadPolicy decodes a policy file in TOML into its fields:
//
//	over_share_value = 0.2
//	[[txn_types]]              # name, and any of value, late_value; effect, level, scope, bound, window, expiry are strict
//	[[tenants]]                # name, and rate
//
// Its error lists all errors of the file, one per line, with line number and key. Strict fields are read like any other:
// policy.ValidateChange decides whether they may differ from the policy in force.
func ReadPolicy(text []byte) (policy.Document, error) {
	if len(text) > policy.MaxDocumentBytes {
		return nil, fmt.Errorf("policy: %d bytes, %d at most", len(text), policy.MaxDocumentBytes)
	}
	if offset := invalidUTF8(text); offset >= 0 {
		return nil, fmt.Errorf("line %d: not UTF-8", lineAt(text, offset))
	}
	document := map[string]any{}
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil, locateError(err)
	}
	r := &policyReader{text: text, positions: keyPositions(text), fields: policy.Document{}, paths: map[string]string{}}
	r.readDocument(document)
	r.validate()
	if len(r.errs) > 0 {
		return nil, errors.Join(r.errs...)
	}
	return r.fields, nil
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8, or -1.
func invalidUTF8(text []byte) int {
	for offset := 0; offset < len(text); {
		r, size := utf8.DecodeRune(text[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
	return -1
}

// validate adds the violations of the policy's own rules. It skips strict fields: there is no policy in force to compare them with.
func (r *policyReader) validate() {
	for _, violation := range policy.ValidateChange(nil, r.fields) {
		if class, _ := policy.Classify(violation.Field); class == policy.ClassLenient || violation.Field == "" {
			r.fail(r.paths[violation.Field], "%s", violation.Reason)
		}
	}
}

// fail records an error at a path, with the line of the longest prefix of the path whose position is known.
func (r *policyReader) fail(path, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if path == "" {
		r.errs = append(r.errs, errors.New(reason))
		return
	}
	for prefix := path; ; {
		if offset, known := r.positions[prefix]; known {
			r.errs = append(r.errs, fmt.Errorf("line %d: %s: %s", lineAt(r.text, offset), path, reason))
			return
		}
		end := strings.LastIndexAny(prefix, ".[")
		if end < 0 {
			r.errs = append(r.errs, fmt.Errorf("%s: %s", path, reason))
			return
		}
		prefix = prefix[:end]
	}
}

// set records a field's value.
func (r *policyReader) set(field, value, path string) { r.fields[field], r.paths[field] = value, path }

// routerFileKeys are the keys that only a router's own file may have.
var routerFileKeys = map[string]bool{
	"name": true, "listen": true, "discovery": true, "seed": true, "limits": true, "fleet": true, "members": true, "pools": true,
	"txn_types.sla": true,
}

// failUnknownKey records the error that a policy has no such key.
func (r *policyReader) failUnknownKey(key, path string) {
	reason := "no such key"
	if routerFileKeys[key] {
		reason = "belongs in each router's own file, not in the policy"
	}
	r.fail(path, "%s", reason)
}

func (r *policyReader) readDocument(document map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(document)) {
		switch key {
		case keyOverShareValue:
			r.readNumber(key, key, document[key])
		case keyRequestClasses, keyTenants:
			r.readTables(key, document[key])
		default:
			r.failUnknownKey(key, key)
		}
	}
}

// readTables reads [[txn_types]] or [[tenants]].
func (r *policyReader) readTables(table string, value any) {
	rows, ok := value.([]any)
	if !ok {
		r.fail(table, "must be written [[%s]], one for each name", table)
		return
	}
	firstIndex := map[string]int{}
	for n, row := range rows {
		path := fmt.Sprintf("%s[%d]", table, n)
		keys, ok := row.(map[string]any)
		if !ok {
			r.fail(path, "must be a table")
			continue
		}
		name, _ := keys[keyName].(string)
		first, repeated := firstIndex[name]
		switch {
		case name == "":
			r.fail(path+".name", "must be given, a text")
		case len(name) > maxPolicyNameBytes:
			r.fail(path+".name", "%d bytes, %d at most", len(name), maxPolicyNameBytes)
			continue
		case repeated:
			r.fail(path+".name", "%q is already the name of %s[%d]", name, table, first)
		case len(keys) == 1:
			r.fail(path, "no field is given for %q", name)
		}
		if !repeated {
			firstIndex[name] = n
		}
		r.readTable(table, name, path, keys)
	}
}

// readTable reads the keys of one table. It checks them even if the table has no name.
func (r *policyReader) readTable(table, name, path string, keys map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if key != keyName {
			r.readField(table, cmp.Or(name, "?"), key, path+"."+key, keys[key])
		}
	}
}

func (r *policyReader) readField(table, name, key, path string, value any) {
	field := table + "." + name + "." + key
	if class, _ := policy.Classify(field); class == policy.ClassUnknown {
		r.failUnknownKey(table+"."+key, path)
		return
	}
	switch key {
	case "effect":
		r.readKeyword(field, path, value, slices.Sorted(maps.Keys(fileEffects)))
	case "scope":
		r.readKeyword(field, path, value, slices.Sorted(maps.Keys(fileScopes)))
	case "level":
		r.readKeyword(field, path, value, slices.Sorted(maps.Keys(levels)))
	case "bound", "window", "expiry":
		r.readDuration(field, path, value)
	default:
		number, ok := r.readNumber(field, path, value)
		if ok && key == keyValue && number == 0 {
			r.fail(path, "must be more than 0: other weights can't be compared with a weight of 0")
		} else if ok && key == keyLateValue && number > 1 {
			r.fail(path, "must be from 0 to 1, a share of the value, not %v", number)
		}
	}
}

func (r *policyReader) readKeyword(field, path string, value any, keywords []string) {
	word, _ := value.(string)
	if !slices.Contains(keywords, word) {
		r.fail(path, "must be one of %s, not %v", strings.Join(keywords, ", "), value)
		return
	}
	r.set(field, word, path)
}

func (r *policyReader) readDuration(field, path string, value any) {
	text, ok := value.(string)
	if !ok {
		r.fail(path, "must be a time like 250ms or 2s, in quotes")
		return
	}
	var duration Duration
	if err := duration.UnmarshalText([]byte(text)); err != nil {
		r.fail(path, "%v", err)
		return
	}
	r.set(field, time.Duration(float64(duration)*float64(time.Millisecond)).String(), path)
}

// readNumber reads a number. validate checks its bounds.
func (r *policyReader) readNumber(field, path string, value any) (number float64, ok bool) {
	switch given := value.(type) {
	case int64:
		number = float64(given)
	case float64:
		number = given + 0 // -0 becomes 0
	default:
		r.fail(path, "must be a number, without quotes or unit")
		return 0, false
	}
	r.set(field, policy.FormatNumber(number), path)
	return number, true
}
