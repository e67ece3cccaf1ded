// Package notice defines the numbered events that processes log. The numbers are stable,
// since operators and scripts match on them.
package notice

// Code is the number of an event.
type Code int

// The events. docs/EVENTS.md describes each.
const (
	NodeStarted         Code = 1001
	NodeStopping        Code = 1002
	NodeReady           Code = 1003
	NodeDrained         Code = 1004
	SettingsRead        Code = 1005
	SettingsRefused     Code = 1006
	ConfigApplied       Code = 2001
	ConfigRefused       Code = 2002
	SubmissionAccepted  Code = 2003
	SubmissionRejected  Code = 2004
	ConfigInForce       Code = 2005
	ObjectRefused       Code = 2006
	SourceRead          Code = 2007
	LeaseTaken          Code = 3001
	LeaseLost           Code = 3002
	PlatformUnreachable Code = 3003
	PlatformReachable   Code = 3004
	RootWithoutLease    Code = 3005
	PlatformRestored    Code = 3006
	LinkUp              Code = 4001
	LinkDown            Code = 4002
	JoinedParent        Code = 4003
	LinkSilent          Code = 4004
	PeerRefused         Code = 4005
	CertificatesRead    Code = 4006
	CertificatesRefused Code = 4007
	EndpointState       Code = 5001
	EndpointSuspected   Code = 5002
	HeartbeatRefused    Code = 5003
	BackendNoticed      Code = 5004
	LeavingKept         Code = 5005
	LeftBackendReported Code = 5006
	BackendVouched      Code = 5007
	RequestsRefused     Code = 6001
	ListenerFault       Code = 6002
	UplinkUsed          Code = 6003
	AttemptSent         Code = 6101
	AttemptEnded        Code = 6102
	RequestAnswered     Code = 6103
	RequestEnded        Code = 6104
	CallerLeft          Code = 6105
	AttemptQueued       Code = 6201
	AttemptRefused      Code = 6202
	AttemptRan          Code = 6203
	LogLinesDropped     Code = 7001
)

var texts = map[Code]string{
	NodeStarted:         "node started",
	NodeStopping:        "node stopping",
	NodeReady:           "node ready",
	NodeDrained:         "node drained",
	SettingsRead:        "settings read again",
	SettingsRefused:     "settings refused",
	ConfigApplied:       "configuration applied",
	ConfigRefused:       "configuration refused",
	SubmissionAccepted:  "submission accepted",
	SubmissionRejected:  "submission rejected",
	ConfigInForce:       "configuration in force",
	ObjectRefused:       "object refused",
	SourceRead:          "source read",
	LeaseTaken:          "lease taken",
	LeaseLost:           "lease lost",
	PlatformUnreachable: "platform unreachable",
	PlatformReachable:   "platform reachable",
	RootWithoutLease:    "acts as root without a lease",
	PlatformRestored:    "platform restored from a copy",
	LinkUp:              "link up",
	LinkDown:            "link down",
	JoinedParent:        "joined parent",
	LinkSilent:          "link silent",
	PeerRefused:         "peer refused",
	CertificatesRead:    "certificates read",
	CertificatesRefused: "certificates refused",
	EndpointState:       "endpoint state changed",
	EndpointSuspected:   "endpoint suspected",
	HeartbeatRefused:    "heartbeat refused",
	BackendNoticed:      "notice of the backend server changed",
	LeavingKept:         "leaving of the backend server kept",
	LeftBackendReported: "late heartbeat of a backend server that has left",
	BackendVouched:      "backend server in service on its own word",
	RequestsRefused:     "requests refused",
	ListenerFault:       "listener fault",
	UplinkUsed:          "network link used",
	AttemptSent:         "attempt sent",
	AttemptEnded:        "attempt ended without the last answer",
	RequestAnswered:     "request answered",
	RequestEnded:        "request ended without an answer",
	CallerLeft:          "caller left",
	AttemptQueued:       "attempt queued",
	AttemptRefused:      "attempt refused",
	AttemptRan:          "attempt ran",
	LogLinesDropped:     "log lines dropped",
}

// String returns the text of the event.
func (c Code) String() string { return texts[c] }

// All returns the text of every event by its code.
func All() map[Code]string { return texts }
