package config

// ranks orders requests by the rank of their account, and those of equal accounts by the rank of
// their policy, in the MaxRank+1 classes that there are.
type ranks struct {
	accounts int // number of ranks of accounts, from 0 on; zero: no account has one
	policies int // number of ranks of policies, from 0 on
}

// rankPolicies are the ranks that correspond to the named priorities.
var rankPolicies = map[Priority]int{PriorityStatus: 0, PriorityInteractive: 1, PriorityBatch: 2}

// rank returns the rank of a policy.
func (p *Policy) rank() int {
	if p.Rank != nil {
		return *p.Rank
	}
	return rankPolicies[p.Priority]
}

// RankOf returns the rank of a request, from 0, the most urgent, to MaxRank. A request without an
// account, such as that of a backend server, ranks with the most urgent accounts: the request that
// it belongs to runs already.
func (s *Snapshot) RankOf(p *Policy, a *Account) int {
	if s.ranks.accounts == 0 {
		return p.rank()
	}
	account := 0
	if a != nil && a.Rank != nil {
		account = *a.Rank
	}
	rank, levels := account*s.ranks.policies+p.rank(), s.ranks.accounts*s.ranks.policies
	if levels > MaxRank+1 {
		rank = rank * (MaxRank + 1) / levels
	}
	return rank
}

// rankAll determines the ranks of the accounts and of the policies of routes.
func (s *Snapshot) rankAll() {
	s.ranks = ranks{}
	for _, a := range s.accounts {
		if a.Rank != nil {
			s.ranks.accounts = max(s.ranks.accounts, *a.Rank+1)
		}
	}
	if s.ranks.accounts == 0 {
		return
	}
	for _, routes := range s.routes {
		for _, r := range routes {
			if r.Policy != nil {
				s.ranks.policies = max(s.ranks.policies, r.Policy.rank()+1)
			}
		}
	}
}
