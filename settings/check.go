package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// check returns every fault in the values of settings. inspect finds faults of
// their form.
func check(s Settings) []Fault {
	var faults []Fault
	var invalid validator.ValidationErrors
	if err := newValidator().Struct(s); errors.As(err, &invalid) {
		for _, f := range invalid {
			_, field, _ := strings.Cut(f.Namespace(), ".")
			faults = append(faults, Fault{Field: field, Reason: faultReason(f, s)})
		}
	}
	return mergeFaults(faults, checkDependentFields(s))
}

// checkDependentFields checks fields whose valid values depend on other fields.
func checkDependentFields(s Settings) []Fault {
	var faults []Fault
	fault := func(field, format string, args ...any) {
		faults = append(faults, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
	}
	if s.Lease.TTL > 0 && s.Lease.Renew+s.Lease.Margin >= s.Lease.TTL {
		fault("lease.renew", "with lease.margin is not below lease.ttl, so that a lease would lapse between renewals")
	}
	if s.Drain.AtMost > 0 && s.Drain.AtLeast > s.Drain.AtMost {
		fault("drain.atLeast", "is over drain.atMost")
	}
	if s.Backend.Slots > 0 && s.Backend.StatusSlots >= s.Backend.Slots {
		fault("backend.statusSlots", "leaves none of backend.slots to other requests")
	}
	if s.Backend.Address != "" && s.Backend.Service == "" {
		fault("backend.service", "is missing, but backend.address is set")
	}
	if s.TLS.Enabled() {
		for _, f := range []struct{ field, value string }{
			{"tls.certificate", s.TLS.Certificate}, {"tls.key", s.TLS.Key}, {"tls.ca", s.TLS.CA},
		} {
			if f.value == "" {
				fault(f.field, "is missing: certificate, key and CA are set together or not at all")
			}
		}
	}
	return append(faults, checkAddresses(s)...)
}

// checkAddresses checks that no two listeners have the same address, and that the
// addresses sent to other nodes are not unspecified (such as 0.0.0.0), as other
// nodes could not reach them.
func checkAddresses(s Settings) []Fault {
	var faults []Fault
	fieldByAddress := map[string]string{}
	for _, listener := range []struct {
		field, address string
		advertised     bool
	}{
		{"listen.callers", s.Listen.Callers, false}, {"listen.hop", s.Listen.Hop, true},
		{"listen.peer", s.Listen.Peer, true}, {"listen.admin", s.Listen.Admin, false},
		{"backend.address", s.Backend.Address, false},
	} {
		a, err := netip.ParseAddrPort(listener.address)
		if err != nil {
			continue // the validator reports it
		}
		if listener.advertised && a.Addr().IsUnspecified() {
			faults = append(faults, Fault{Field: listener.field, Reason: fmt.Sprintf(
				"%q is sent to other nodes, so it must be an IP address of this host", listener.address)})
		}
		if other, ok := fieldByAddress[listener.address]; ok && a.Port() != 0 {
			faults = append(faults, Fault{Field: listener.field, Reason: fmt.Sprintf("%q is the address of %s too", listener.address, other)})
		}
		fieldByAddress[listener.address] = listener.field
	}
	return faults
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return time.Duration(f.Int()) }, Duration(0))
	must(v.RegisterValidation("oneofslice", inSliceOf))
	must(v.RegisterValidation("ipport", isAddrPort))
	return v
}

// inSliceOf checks that a string is an element of the slice in another field.
func inSliceOf(f validator.FieldLevel) bool {
	list := f.Parent().FieldByName(f.Param())
	for i := range list.Len() {
		if list.Index(i).String() == f.Field().String() {
			return true
		}
	}
	return false
}

// isAddrPort checks that a string is an IP address and a port. Host names are not
// accepted, as they are not resolved.
func isAddrPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func faultReason(f validator.FieldError, s Settings) string {
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
	case "startswith":
		return fmt.Sprintf("%q does not start with %q", f.Value(), f.Param())
	case "unique":
		return "has the same value more than once"
	case "printascii":
		return fmt.Sprintf("%q has characters that can't be printed", f.Value())
	case "min":
		return fmt.Sprintf("%v is below the minimum, %s", f.Value(), f.Param())
	case "max":
		return fmt.Sprintf("%v is over the maximum, %s", describeSize(f.Value()), f.Param())
	}
	return fmt.Sprintf("%v fails the check %q", f.Value(), f.Tag())
}

// describeSize returns the quantity that a maximum applies to: the length of a
// string or a slice, otherwise the value itself.
func describeSize(v any) any {
	switch r := reflect.ValueOf(v); r.Kind() {
	case reflect.String, reflect.Slice:
		return fmt.Sprintf("a length of %d", r.Len())
	}
	return v
}
