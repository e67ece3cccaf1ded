package endpoint

// Addresses returns the number of addresses that the table holds.
func (t *Table) Addresses() int { return len(t.byAddress) }
