package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `{
  "node": "orders-1", "dataCentre": "derby", "dataCentres": ["derby", "leicester"],
  "platform": "http://10.0.0.1:8082", "seeds": ["10.0.0.3:7002"],
  "listen": {"callers": "0.0.0.0:8080", "hop": "10.0.0.2:7001", "peer": "10.0.0.2:7002"},
  "backend": {"service": "orders", "address": "127.0.0.1:9000", "slots": 6, "probeEvery": "500ms"},
  "lease": {"ttl": "6s", "renew": "2s", "margin": "1s"}
}`

func TestDecode(t *testing.T) {
	is := is.New(t)
	s, err := Decode("node.json", []byte(validSettings))
	is.NoErr(err)
	is.Equal(time.Duration(s.Backend.ProbeEvery), 500*time.Millisecond)
	is.Equal(s.Backend.Slots, 6)
}

func TestDecodeFaults(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown field", `"peer"`, `"pear"`, []string{"listen.pear: unknown field", "listen.peer: is missing"}},
		{"other case", `"node"`, `"Node"`, []string{"Node: unknown field"}},
		{"repeated field", `"slots": 6`, `"slots": 6, "slots": 7`, []string{"backend.slots: is set more than once"}},
		{"number for text", `"orders-1"`, `7`, []string{"node: is the number 7, must be text"}},
		{"text for number", `"slots": 6`, `"slots": "six"`, []string{`backend.slots: is the text "six", must be a whole number`}},
		{"fraction", `"slots": 6`, `"slots": 6.5`, []string{"backend.slots: is the number 6.5, must be a whole number"}},
		{"number for duration", `"500ms"`, `500`, []string{`backend.probeEvery: is the number 500, must be a duration as in "1.5s"`}},
		{"bad duration", `"500ms"`, `"soon"`, []string{`backend.probeEvery: "soon" is not a duration`}},
		{"short duration", `"500ms"`, `"1ms"`, []string{"backend.probeEvery: 1ms is below the minimum, 50ms"}},
		{"long duration", `"500ms"`, `"1h"`, []string{"backend.probeEvery: 1h0m0s is over the maximum, 1m"}},
		{"null", `"orders-1"`, `null`, []string{"node: is null, must be text"}},
		{"object for text", `"orders-1"`, `{"a":1}`, []string{"node: is an object, must be text"}},
		{"text for object", `"lease": {`, `"lease": "x", "drain": {"atMost": "9x"}, "x": {`, []string{
			`lease: is the text "x", must be an object`, `drain.atMost: "9x" is not a duration`, "x: unknown field"}},
		{"element", `["10.0.0.3:7002"]`, `["10.0.0.3:7002", "host:1", 3]`, []string{
			"seeds[2]: is the number 3, must be text", `seeds[1]: "host:1" is not of the form IP:port`}},
		{"data centre", `"dataCentre": "derby"`, `"dataCentre": "york"`, []string{`dataCentre: "york" is not one of dataCentres: derby leicester`}},
		{"host name", `10.0.0.2:7001`, `hop.example:7001`, []string{`listen.hop: "hop.example:7001" is not of the form IP:port`}},
		{"every address", `10.0.0.2:7001`, `0.0.0.0:7001`, []string{`listen.hop: "0.0.0.0:7001" is sent to other nodes`}},
		{"shared address", `10.0.0.2:7001`, `10.0.0.2:7002`, []string{`listen.peer: "10.0.0.2:7002" is the address of listen.hop too`}},
		{"lease", `"renew": "2s"`, `"renew": "5s"`, []string{"lease.renew: with lease.margin is not below lease.ttl"}},
		{"half of TLS", `"lease"`, `"tls": {"key": "k"}, "lease"`, []string{"tls.certificate: is missing", "tls.ca: is missing"}},
		{"drain", `"lease"`, `"drain": {"atLeast": "9s", "atMost": "2s"}, "lease"`, []string{"drain.atLeast: is over drain.atMost"}},
		{"status slots", `"slots": 6`, `"slots": 6, "statusSlots": 6`, []string{"backend.statusSlots: leaves none"}},
		{"no service", `"service": "orders", `, ``, []string{"backend.service: is missing, but"}},
		{"no URL", `http://10.0.0.1:8082`, `platform`, []string{`platform: "platform" is not a URL`}},
		{"cut", `"renew": "2s", "margin": "1s"}` + "\n}", ``, []string{"(whole file): is not valid JSON near line"}},
		{"two values", "\n}", "\n} {}", []string{"(whole file): has data after the JSON value"}},
		{"an array", validSettings, `[]`, []string{"(whole file): is an array, must be an object"}},
		{"deep", validSettings, strings.Repeat(`{"listen":`, 1_000_000), []string{"(whole file): is not valid JSON near line 1: values are nested more than 32 deep"}},
		{"empty", validSettings, ``, []string{"(whole file): is not valid JSON near line 1: unexpected EOF"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, tt.old, tt.new, 1)
			is.True(text != validSettings) // the replaced text was found
			_, err := Decode("node.json", []byte(text))
			var e *Error
			is.True(errors.As(err, &e))
			for _, want := range tt.want {
				is.True(strings.Contains(err.Error(), "node.json: "+want)) // one error reports every fault
			}
			if tt.old != validSettings {
				is.Equal(len(e.Faults), len(tt.want)) // and no other
			}
		})
	}
}
