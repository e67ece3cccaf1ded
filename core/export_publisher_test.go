package core

// The functions below switch one rule of the publisher off.

// Unchecked publishes without a check of the set.
func Unchecked(c Config) Config { c.faults.unchecked = true; return c }

// IgnoreSettled settles a submission whatever became of it before.
func IgnoreSettled(c Config) Config { c.faults.ignoreSettled = true; return c }

// Unfenced publishes under an epoch older than the head's.
func Unfenced(c Config) Config { c.faults.unfenced = true; return c }

// Hasty writes InForce without a count.
func Hasty(c Config) Config { c.faults.hasty = true; return c }

// UnfencedSweep deletes garbage without an update of the head.
func UnfencedSweep(c Config) Config { c.faults.unfencedSweep = true; return c }

// RefuseAll puts no version in force.
func RefuseAll(c Config) Config { c.faults.refuseAll = true; return c }
