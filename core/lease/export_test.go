package lease

// CountFromAnswer makes the held time count from the answer to a renewal.
func (m *Machine) CountFromAnswer() { m.faults.countFromAnswer = true }

// TrustRecord makes a record of our own count as held from its reading.
func (m *Machine) TrustRecord() { m.faults.trustRecord = true }
