package core

// The functions below switch one rule of the publisher off.

// SkipValidation publishes without a check of the set.
func SkipValidation(c Config) Config { c.publisherFaults.skipValidation = true; return c }

// IgnoreSettled settles a submission whatever became of it before.
func IgnoreSettled(c Config) Config { c.publisherFaults.ignoreSettled = true; return c }

// IgnoreEpoch publishes under an epoch older than the head's.
func IgnoreEpoch(c Config) Config { c.publisherFaults.ignoreEpoch = true; return c }

// SkipCount writes InForce without a count.
func SkipCount(c Config) Config { c.publisherFaults.skipCount = true; return c }

// UnfencedSweep deletes garbage without an update of the head.
func UnfencedSweep(c Config) Config { c.publisherFaults.unfencedSweep = true; return c }

// RefuseAll puts no version in force.
func RefuseAll(c Config) Config { c.publisherFaults.refuseAll = true; return c }
