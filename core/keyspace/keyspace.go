// Package keyspace defines the keys used in the platform. docs/ARCHITECTURE.md lists who
// writes and who reads each of them.
package keyspace

// Keys and key prefixes. Prefixes end in a slash.
const (
	Head           = "config/head"      // refers to the manifest in force
	Manifests      = "config/manifest/" // by SHA-256 of the content
	Chunks         = "config/chunk/"    // by SHA-256 of the content
	Source         = "source/"          // complete configurations from an external source (config.SourceSet)
	Submissions    = "submission/"      // by submission ID, which the operator's tool generates
	Statuses       = "status/"          // by submission ID
	Leases         = "lease/"           // prefix of all leases
	RootLeases     = "lease/root/"      // by data centre
	PublisherLease = "lease/publisher"
	Claims         = "claim/"   // by hash of an Idempotency-Key
	Leavings       = "leaving/" // by data centre and node
)
