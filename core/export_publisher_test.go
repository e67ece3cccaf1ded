package core

// The functions below each disable one rule of the publisher.

// SkipValidation publishes a set without validating it.
func SkipValidation(c Config) Config { c.publisherFaults.skipValidation = true; return c }

// IgnoreSettled settles a submission even if it was settled before.
func IgnoreSettled(c Config) Config { c.publisherFaults.ignoreSettled = true; return c }

// IgnoreEpoch publishes under an epoch older than the head's.
func IgnoreEpoch(c Config) Config { c.publisherFaults.ignoreEpoch = true; return c }

// SkipCount writes InForce without counting the nodes that applied the
// version.
func SkipCount(c Config) Config { c.publisherFaults.skipCount = true; return c }

// UnfencedSweep deletes garbage without updating the head first.
func UnfencedSweep(c Config) Config { c.publisherFaults.unfencedSweep = true; return c }

// RefuseAll refuses every version.
func RefuseAll(c Config) Config { c.publisherFaults.refuseAll = true; return c }
