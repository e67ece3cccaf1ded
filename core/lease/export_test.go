package lease

// CountFromAnswer enables a deliberate fault: the held time is counted from the
// answer to a renewal.
func (m *Machine) CountFromAnswer() { m.faults.countFromAnswer = true }

// TrustRecord enables a deliberate fault: the lease counts as held from the time
// at which a record with the process's own name is read.
func (m *Machine) TrustRecord() { m.faults.trustRecord = true }
