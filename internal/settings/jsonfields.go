package settings

import (
	"fmt"

	"github.com/valyala/fastjson"
)

// Fields reads the fields of one JSON object. Its methods return the zero value for a field that is missing or has the wrong type, and the
// first such error is kept in Err.
type Fields struct {
	Value *fastjson.Value
	Err   error
}

// Fail records the error that a field must be what want describes, unless an error is recorded already.
func (f *Fields) Fail(key, want string) {
	if f.Err == nil {
		f.Err = fmt.Errorf("%s: must be %s", key, want)
	}
}

// Get returns a field, or nil if it is missing or null.
func (f *Fields) Get(key string) *fastjson.Value {
	v := f.Value.Get(key)
	if v != nil && v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

// Text reads a string.
func (f *Fields) Text(key string) string {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeString {
		f.Fail(key, "text")
		return ""
	}
	return string(v.GetStringBytes())
}

// OptionalText reads a string that may be missing or 0.
func (f *Fields) OptionalText(key string) string {
	if v := f.Get(key); v == nil || v.Type() == fastjson.TypeNumber && v.GetFloat64() == 0 {
		return ""
	}
	return f.Text(key)
}

// Number reads a number.
func (f *Fields) Number(key string) float64 {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeNumber {
		f.Fail(key, "a number")
		return 0
	}
	return v.GetFloat64()
}

// OptionalNumber reads a number that may be missing.
func (f *Fields) OptionalNumber(key string) float64 {
	if f.Get(key) == nil {
		return 0
	}
	return f.Number(key)
}

// Bool reads a boolean that may be missing.
func (f *Fields) Bool(key string) bool {
	v := f.Get(key)
	if v == nil {
		return false
	}
	if t := v.Type(); t != fastjson.TypeTrue && t != fastjson.TypeFalse {
		f.Fail(key, "true or false")
	}
	return v.GetBool()
}

// Object reads a nested object with read. An error in it is prefixed with the object's key.
func (f *Fields) Object(key string, read func(*Fields)) {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeObject {
		f.Fail(key, "an object")
		return
	}
	inner := &Fields{Value: v}
	read(inner)
	if f.Err == nil && inner.Err != nil {
		f.Err = fmt.Errorf("%s.%w", key, inner.Err)
	}
}

// OptionalObject does what Object does, unless the object is missing.
func (f *Fields) OptionalObject(key string, read func(*Fields)) {
	if f.Get(key) != nil {
		f.Object(key, read)
	}
}

// Array reads an array.
func (f *Fields) Array(key string) []*fastjson.Value {
	v := f.Get(key)
	if v == nil || v.Type() != fastjson.TypeArray {
		f.Fail(key, "an array")
		return nil
	}
	return v.GetArray()
}
