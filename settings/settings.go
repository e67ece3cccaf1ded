// Package settings reads the settings of a node from JSON. Decoding is strict, and
// an error lists every fault with the path of its field.
// docs/operations/settings.md describes every field.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

// DefaultAdmin is the default of listen.admin: a loopback address, so that only the
// host itself can reach it.
const DefaultAdmin = "127.0.0.1:8081"

// SourceStore is the value of distribution.source with which nodes read complete
// configurations that another program writes to the store.
const SourceStore = "store"

// Settings are the settings of one node. Addresses are IP:port. A field with the
// zero value has its default.
type Settings struct {
	Node         string       `json:"node" validate:"required,max=128,printascii"`
	DataCentre   string       `json:"dataCentre" validate:"required,oneofslice=DataCentres"`
	DataCentres  []string     `json:"dataCentres" validate:"required,min=1,unique,dive,required,max=128"`
	Platform     string       `json:"platform" validate:"required,url"`
	Seeds        []string     `json:"seeds,omitempty" validate:"max=64,unique,dive,ipport"`
	Listen       Listen       `json:"listen"`
	Backend      Backend      `json:"backend,omitzero"`
	Distribution Distribution `json:"distribution,omitzero"`
	Lease        Lease        `json:"lease,omitzero"`
	Publisher    Publisher    `json:"publisher,omitzero"`
	Requests     Requests     `json:"requests,omitzero"`
	Drain        Drain        `json:"drain,omitzero"`
	TLS          TLS          `json:"tls,omitzero"`
	Log          Log          `json:"log,omitzero"`
	MemoryBytes  int          `json:"memoryBytes,omitempty" validate:"omitempty,min=16777216"`
	Descriptors  int          `json:"descriptors,omitempty" validate:"omitempty,min=256"`
	LinkMbps     float64      `json:"linkMbps,omitempty" validate:"min=0,max=1000000"`
}

// Listen holds the addresses that a node listens on. Callers and Hop receive
// requests, Peer the links from other nodes, and Admin serves operators. Hop and
// Peer are sent to the other nodes, so they must be IP addresses at which those
// reach this host.
type Listen struct {
	Callers string `json:"callers" validate:"required,ipport"`
	Hop     string `json:"hop" validate:"required,ipport"`
	Peer    string `json:"peer" validate:"required,ipport"`
	Admin   string `json:"admin,omitempty" validate:"omitempty,ipport"`
}

// Backend describes the backend server on the host of the node. An empty Service
// means that there is none.
type Backend struct {
	Service     string   `json:"service,omitempty" validate:"max=128"`
	Address     string   `json:"address,omitempty" validate:"required_with=Service,omitempty,ipport"`
	Slots       int      `json:"slots,omitempty" validate:"min=0,max=10000"`
	StatusSlots int      `json:"statusSlots,omitempty" validate:"min=0,max=10000"`
	Queue       Queue    `json:"queue,omitzero"`
	Connections int      `json:"connections,omitempty" validate:"min=0,max=100000"`
	HealthPath  string   `json:"healthPath,omitempty" validate:"omitempty,startswith=/"`
	ProbeEvery  Duration `json:"probeEvery,omitempty" validate:"omitempty,min=50ms,max=1m"`
	SlowStart   Duration `json:"slowStart,omitempty" validate:"omitempty,min=1ms,max=10m"`
	Announces   bool     `json:"announces,omitempty"`
	SilentAfter Duration `json:"silentAfter,omitempty" validate:"omitempty,min=100ms,max=10m"`
	FirstStart  bool     `json:"firstStart,omitempty"`
}

// Queue bounds the attempts that wait for a slot.
type Queue struct {
	Length   int      `json:"length,omitempty" validate:"min=0,max=100000"`
	MaxWait  Duration `json:"maxWait,omitempty" validate:"omitempty,min=1ms,max=5m"`
	Target   Duration `json:"target,omitempty" validate:"omitempty,min=1ms,max=5m"`
	Interval Duration `json:"interval,omitempty" validate:"omitempty,min=1ms,max=5m"`
}

// Distribution controls how nodes distribute the configuration and their state.
type Distribution struct {
	Source           string   `json:"source,omitempty" validate:"omitempty,oneof=publisher store"`
	Favour           string   `json:"favour,omitempty" validate:"omitempty,oneof=convergence bytes"`
	Fanout           int      `json:"fanout,omitempty" validate:"omitempty,min=2,max=1024"`
	HeartbeatEvery   Duration `json:"heartbeatEvery,omitempty" validate:"omitempty,min=50ms,max=1m"`
	MissedHeartbeats int      `json:"missedHeartbeats,omitempty" validate:"omitempty,min=2,max=20"`
	JoinJitter       Duration `json:"joinJitter,omitempty" validate:"omitempty,min=1ms,max=5m"`
	WatchWait        Duration `json:"watchWait,omitempty" validate:"omitempty,min=1s,max=1m"`
	SourceWait       Duration `json:"sourceWait,omitempty" validate:"omitempty,min=100ms,max=1m"`
	ReportEvery      Duration `json:"reportEvery,omitempty" validate:"omitempty,min=10ms,max=1m"`
	BatchWindow      Duration `json:"batchWindow,omitempty" validate:"omitempty,min=1ms,max=10s"`
	JoinsPerSecond   int      `json:"joinsPerSecond,omitempty" validate:"omitempty,min=1,max=10000"`
	Grace            Duration `json:"grace,omitempty" validate:"omitempty,min=1s,max=10m"`
	SuspectLimit     Duration `json:"suspectLimit,omitempty" validate:"omitempty,min=1s,max=1h"`
	TombstoneFor     Duration `json:"tombstoneFor,omitempty" validate:"omitempty,min=1m,max=24h"`
}

// Lease holds the durations of the leases of roots and of the publisher.
type Lease struct {
	TTL    Duration `json:"ttl,omitempty" validate:"omitempty,min=1s,max=5m"`
	Renew  Duration `json:"renew,omitempty" validate:"omitempty,min=100ms,max=2m"`
	Margin Duration `json:"margin,omitempty" validate:"omitempty,min=10ms,max=1m"`
}

// Publisher holds the durations of the publisher's garbage collection.
type Publisher struct {
	SweepEvery Duration `json:"sweepEvery,omitempty" validate:"omitempty,min=10s,max=24h"`
	StatusKeep Duration `json:"statusKeep,omitempty" validate:"omitempty,min=1m,max=720h"`
}

// Requests holds limits, retries and idempotency keys of callers' requests.
type Requests struct {
	MaxBodyBytes    int      `json:"maxBodyBytes,omitempty" validate:"min=0,max=1073741824"`
	MaxDepth        int      `json:"maxDepth,omitempty" validate:"min=0,max=64"`
	SilenceAfter    Duration `json:"silenceAfter,omitempty" validate:"omitempty,min=10ms,max=1m"`
	RetryShare      float64  `json:"retryShare,omitempty" validate:"min=0,max=1"`
	RerunShare      float64  `json:"rerunShare,omitempty" validate:"min=0,max=1"`
	RerunReserve    float64  `json:"rerunReserve,omitempty" validate:"min=0,max=1000"`
	QuotaWindow     Duration `json:"quotaWindow,omitempty" validate:"omitempty,min=1s,max=1m"`
	QuotaOverage    float64  `json:"quotaOverage,omitempty" validate:"min=0,max=1"`
	QuotaSlack      float64  `json:"quotaSlack,omitempty" validate:"min=0,max=100000"`
	KeyKeep         Duration `json:"keyKeep,omitempty" validate:"omitempty,min=1s,max=24h"`
	ClaimKeep       Duration `json:"claimKeep,omitempty" validate:"omitempty,min=10m,max=720h"`
	ClaimsPerSecond float64  `json:"claimsPerSecond,omitempty" validate:"min=0,max=1000"`
}

// Drain bounds the time between a request to stop and the end of the process.
type Drain struct {
	AtLeast Duration `json:"atLeast,omitempty" validate:"omitempty,min=1ms,max=1m"`
	AtMost  Duration `json:"atMost,omitempty" validate:"omitempty,min=100ms,max=1h"`
}

// TLS names the PEM files for the connections between nodes. Without them these
// connections are not encrypted.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"`
}

// Enabled reports whether links and hops use TLS.
func (t TLS) Enabled() bool { return t != TLS{} }

// Log controls which events are logged, in which format and where.
type Log struct {
	Output string `json:"output,omitempty" validate:"omitempty,oneof=stderr stdout"`
	Format string `json:"format,omitempty" validate:"omitempty,oneof=json console"`
	Level  string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Duration is a time.Duration that is written in JSON as text such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration as in \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Fault is one fault of a settings file.
type Fault struct {
	Field  string // path of the field, as in listen.peer
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

// Decode decodes and checks settings. Its error is an *Error with every fault, in
// which file is the name of the file.
func Decode(file string, data []byte) (Settings, error) {
	faults, err := inspect(data)
	if err != nil {
		return Settings{}, &Error{File: file, Faults: []Fault{{Field: "(whole file)", Reason: err.Error()}}}
	}
	var s Settings
	if err := json.Unmarshal(data, &s); err != nil && len(faults) == 0 {
		return Settings{}, &Error{File: file, Faults: []Fault{{Field: "(whole file)", Reason: err.Error()}}}
	}
	faults = mergeFaults(faults, check(s))
	if len(faults) > 0 {
		return Settings{}, &Error{File: file, Faults: faults}
	}
	return s, nil
}

// Check checks the values of settings. It returns nil or an *Error with every
// fault, in which name is the name of the file.
func Check(name string, s Settings) error {
	if faults := check(s); len(faults) > 0 {
		return &Error{File: name, Faults: faults}
	}
	return nil
}

// mergeFaults appends the faults of fields that have none yet. A field of the wrong
// type is also empty, and a second fault for it would not help.
func mergeFaults(faults, more []Fault) []Fault {
	faulty := map[string]bool{}
	for _, f := range faults {
		faulty[f.Field] = true
	}
	for _, f := range more {
		if !faulty[f.Field] {
			faults = append(faults, f)
		}
	}
	return faults
}
