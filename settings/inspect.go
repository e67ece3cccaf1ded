package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// inspector compares JSON with the type that it will be decoded into, and collects
// every unknown field, repeated field and wrong type with its path.
type inspector struct {
	dec    *json.Decoder
	faults []Fault
	depth  int
}

// maxDepth bounds the nesting of values, in which a scalar counts as a level too.
// Settings nest objects and arrays 2 deep.
const maxDepth = 32

// inspect returns every fault in the form of settings. It returns an error if the
// data is not a single valid JSON value.
func inspect(data []byte) ([]Fault, error) {
	in := &inspector{dec: json.NewDecoder(bytes.NewReader(data))}
	in.dec.UseNumber()
	if err := in.value("", reflect.TypeFor[Settings]()); err != nil {
		return nil, fmt.Errorf("is not valid JSON near line %d: %w", in.line(data), err)
	}
	if _, err := in.dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("has data after the JSON value near line %d", in.line(data))
	}
	return in.faults, nil
}

func (in *inspector) line(data []byte) int {
	return 1 + bytes.Count(data[:in.dec.InputOffset()], []byte("\n"))
}

func (in *inspector) fault(path, format string, args ...any) {
	if path == "" {
		path = "(whole file)"
	}
	in.faults = append(in.faults, Fault{Field: path, Reason: fmt.Sprintf(format, args...)})
}

// value reads one JSON value and compares it with the type that it will be decoded
// into. A nil type accepts any value.
func (in *inspector) value(path string, t reflect.Type) error {
	if in.depth++; in.depth > maxDepth {
		return fmt.Errorf("values are nested more than %d deep", maxDepth)
	}
	defer func() { in.depth-- }()
	token, err := in.dec.Token()
	if err != nil {
		return unexpectedEOF(err)
	}
	switch token {
	case json.Delim('{'):
		if t != nil && t.Kind() != reflect.Struct {
			in.fault(path, "is an object, must be %s", typeName(t))
			t = nil
		}
		return in.object(path, t)
	case json.Delim('['):
		if t != nil && t.Kind() != reflect.Slice {
			in.fault(path, "is an array, must be %s", typeName(t))
			t = nil
		}
		return in.array(path, t)
	}
	if t != nil {
		in.scalar(path, token, t)
	}
	return nil
}

// unexpectedEOF replaces io.EOF, which here means that the input ends within a
// value, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (in *inspector) object(path string, t reflect.Type) error {
	seen := map[string]bool{}
	for in.dec.More() {
		token, err := in.dec.Token()
		if err != nil {
			return unexpectedEOF(err)
		}
		name := token.(string) // the decoder returns only strings as object keys
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		field := fieldType(t, name)
		switch {
		case t != nil && field == nil:
			in.fault(fieldPath, "unknown field")
		case seen[name]:
			in.fault(fieldPath, "is set more than once")
		}
		seen[name] = true
		if err := in.value(fieldPath, field); err != nil {
			return err
		}
	}
	_, err := in.dec.Token()
	return unexpectedEOF(err)
}

func (in *inspector) array(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; in.dec.More(); i++ {
		if err := in.value(path+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
	}
	_, err := in.dec.Token()
	return unexpectedEOF(err)
}

func (in *inspector) scalar(path string, token json.Token, t reflect.Type) {
	switch v := token.(type) {
	case string:
		in.text(path, v, t)
	case json.Number:
		in.number(path, v, t)
	case bool:
		if t.Kind() != reflect.Bool {
			in.fault(path, "is %t, must be %s", v, typeName(t))
		}
	case nil:
		in.fault(path, "is null, must be %s", typeName(t))
	}
}

func (in *inspector) text(path, v string, t reflect.Type) {
	if u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(v)); err != nil {
			in.fault(path, "%v", err)
		}
		return
	}
	if t.Kind() != reflect.String {
		in.fault(path, "is the text %q, must be %s", v, typeName(t))
	}
}

func (in *inspector) number(path string, v json.Number, t reflect.Type) {
	if _, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
		in.fault(path, "is the number %s, must be %s", v, typeName(t))
		return
	}
	var err error
	switch t.Kind() {
	case reflect.Int:
		_, err = strconv.Atoi(v.String())
	case reflect.Float64:
		_, err = v.Float64()
	default:
		err = strconv.ErrSyntax
	}
	if err != nil {
		in.fault(path, "is the number %s, must be %s", v, typeName(t))
	}
}

// fieldType returns the type of the field with the given JSON name, or nil if there
// is none.
func fieldType(t reflect.Type, name string) reflect.Type {
	if t == nil {
		return nil
	}
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i).Type
		}
	}
	return nil
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return `a duration as in "1.5s"`
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "an array"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Int:
		return "a whole number"
	}
	return "a number"
}
