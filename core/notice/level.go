package notice

// Level is the severity of an event.
type Level uint8

// The levels, in ascending order of severity.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// String returns the name of the level as used in settings and logs.
func (l Level) String() string {
	return [...]string{Debug: "debug", Info: "info", Warn: "warn", Error: "error"}[l]
}

// Level returns the severity of an event.
func (c Code) Level() Level {
	switch c {
	case CertificatesRefused:
		return Error
	case ConfigRefused, SubmissionRejected, PlatformUnreachable, RootWithoutLease, PlatformRestored, LinkSilent,
		EndpointSuspected, LeaseLost, PeerRefused, ListenerFault, HeartbeatRefused, ObjectRefused, SettingsRefused, LogLinesDropped:
		return Warn
	case LinkUp:
		return Debug
	}
	return Info
}
