package settings

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"
)

// FuzzDecode decodes arbitrary bytes as settings. Decode must not panic, every
// error must name file, field and reason, and valid settings must be unchanged
// after encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode("f", data)
		if err != nil {
			checkFaults(t, err)
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		got, err := Decode("f", encoded)
		if err != nil || !reflect.DeepEqual(got, s) {
			t.Fatalf("encoded settings %s were decoded as %+v: %v", encoded, got, err)
		}
	})
}

func checkFaults(t *testing.T, err error) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.File != "f" || len(e.Faults) == 0 {
		t.Fatalf("error without file or faults: %v", err)
	}
	for _, fault := range e.Faults {
		if fault.Field == "" || fault.Reason == "" {
			t.Fatalf("fault %+v does not name field and reason", fault)
		}
	}
}
