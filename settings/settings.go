// Package settings reads a node's settings: JSON, decoded strictly, every
// fault reported at once.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Settings are those of one node. Addresses are IP:port.
type Settings struct {
	Node        string       `json:"node" validate:"required,max=128"`
	DataCentre  string       `json:"dataCentre" validate:"required,oneofslice=DataCentres"`
	DataCentres []string     `json:"dataCentres" validate:"required,min=1,unique,dive,required"`
	Platform    string       `json:"platform" validate:"required,url"`
	Seeds       []string     `json:"seeds,omitempty" validate:"dive,ipport"`
	Listen      Listen       `json:"listen"`
	Backend     Backend      `json:"backend"`
	Log         Log          `json:"log"`
	Distribute  Distribution `json:"distribution"`
}

// Listen holds the addresses that a node listens on. Callers and Hop carry
// requests, Peer carries the links between nodes.
type Listen struct {
	Callers string `json:"callers" validate:"required,ipport"`
	Hop     string `json:"hop" validate:"required,ipport"`
	Peer    string `json:"peer" validate:"required,ipport"`
	Admin   string `json:"admin" validate:"required,ipport"`
}

// Backend describes the backend server beside the node. Without a service
// none stands there.
type Backend struct {
	Service     string `json:"service,omitempty" validate:"max=128"`
	Address     string `json:"address,omitempty" validate:"required_with=Service,omitempty,ipport"`
	Slots       int    `json:"slots,omitempty" validate:"min=0,max=10000"`
	Connections int    `json:"connections,omitempty" validate:"min=0,max=100000"`
	HealthPath  string `json:"healthPath,omitempty" validate:"omitempty,startswith=/"`
}

// Log says how events are written.
type Log struct {
	Format string `json:"format,omitempty" validate:"omitempty,oneof=json console"`
	Level  string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Distribution says what the spreading of configuration favours.
type Distribution struct {
	Favour string `json:"favour,omitempty" validate:"omitempty,oneof=convergence bytes"`
	Fanout int    `json:"fanout,omitempty" validate:"min=0,max=1024"`
}

// Fault is one thing wrong with a settings file.
type Fault struct {
	Field  string
	Reason string
}

// Error holds every fault of a settings file.
type Error struct {
	File   string
	Faults []Fault
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, f.Field, f.Reason))
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, data)
}

// Decode reads and checks settings; file is named in errors.
func Decode(file string, data []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("%s: at byte %d: %w", file, dec.InputOffset(), err)
	}
	return s, Check(file, s)
}

// Check returns an *Error with every fault, or nil.
func Check(file string, s Settings) error {
	v := newValidator()
	err := v.Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	e := &Error{File: file}
	for _, f := range invalid {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		e.Faults = append(e.Faults, Fault{Field: field, Reason: reason(f, s)})
	}
	return e
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	must(v.RegisterValidation("oneofslice", inSliceOf))
	must(v.RegisterValidation("ipport", isAddrPort))
	return v
}

// inSliceOf checks that a string is among those of another field.
func inSliceOf(f validator.FieldLevel) bool {
	list := f.Parent().FieldByName(f.Param())
	for i := range list.Len() {
		if list.Index(i).String() == f.Field().String() {
			return true
		}
	}
	return false
}

// isAddrPort checks for an IP number and a port; names are not looked up.
func isAddrPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func reason(f validator.FieldError, s Settings) string {
	switch f.Tag() {
	case "required", "required_with":
		return "is missing"
	case "ipport":
		return fmt.Sprintf("%q is not of the form IP:port", f.Value())
	case "url":
		return fmt.Sprintf("%q is not a URL", f.Value())
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), f.Param())
	case "oneofslice":
		return fmt.Sprintf("%q is not one of dataCentres: %s", f.Value(), strings.Join(s.DataCentres, " "))
	case "min", "max":
		return fmt.Sprintf("%v is beyond the %s of %s", f.Value(), f.Tag(), f.Param())
	}
	return fmt.Sprintf("%v fails the check %q", f.Value(), f.Tag())
}
