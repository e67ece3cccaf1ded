package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// decodeError is an error in JSON input, with the path of the field concerned.
type decodeError struct{ field, reason string }

// Error implements error.
func (e *decodeError) Error() string {
	if e.field == "" {
		return e.reason
	}
	return e.field + ": " + e.reason
}

// strictDecode decodes JSON and rejects unknown fields and trailing data. It returns
// nil on success.
func strictDecode(raw []byte, into any) *decodeError {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return newDecodeError(err)
	}
	if dec.More() {
		return &decodeError{reason: fmt.Sprintf("has data after the JSON value at byte %d", dec.InputOffset())}
	}
	return nil
}

// unknownFieldPrefix is the prefix of encoding/json's error for an unknown field,
// which has no type of its own.
const unknownFieldPrefix = "json: unknown field "

func newDecodeError(err error) *decodeError {
	var wrong *json.UnmarshalTypeError
	switch name, unknown := strings.CutPrefix(err.Error(), unknownFieldPrefix); {
	case unknown:
		return &decodeError{field: strings.Trim(name, `"`), reason: "unknown field"}
	case errors.As(err, &wrong):
		return &decodeError{field: wrong.Field, reason: fmt.Sprintf("is a JSON %s, must be %s", wrong.Value, jsonType(wrong.Type))}
	}
	return &decodeError{reason: "is no JSON: " + err.Error()}
}

func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "a whole number"
}
