// Package keyspace names the keys in the platform. docs/ARCHITECTURE.md says
// who writes and who reads each.
package keyspace

// Keys, and prefixes of keys (those that end in a slash).
const (
	Head           = "config/head"      // points at the manifest in force
	Manifests      = "config/manifest/" // by the SHA-256 of their content
	Chunks         = "config/chunk/"    // by the SHA-256 of their content
	Source         = "source/"          // configuration that is kept whole elsewhere; config.Published
	Submissions    = "submission/"      // by the ID that the operator's tool made
	Statuses       = "status/"          // by the ID of the submission
	Leases         = "lease/"           // all leases
	RootLeases     = "lease/root/"      // by data centre
	PublisherLease = "lease/publisher"
	Claims         = "claim/" // by the hash of an Idempotency-Key
)
