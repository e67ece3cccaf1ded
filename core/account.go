package core

import "github.com/agatekeel/agatekeel/core/config"

// authenticate returns the client account of a request, nil for none. It returns false if the route
// needs a key and the request has none that an account holds. The configuration in force decides
// for each request, so a key that is withdrawn is refused on connections that are open too.
func (s *State) authenticate(route *config.Route, key *config.KeyDigest) (*config.Account, bool) {
	if !s.holder.snapshot.HasAccounts() {
		return nil, true
	}
	if key != nil {
		if account, ok := s.holder.snapshot.AccountOf(*key); ok {
			return account, true
		}
	}
	return nil, route.Public
}

// noAccountReason returns the reason for refusing a request without an account. It does not
// contain the key.
func noAccountReason(key *config.KeyDigest) string {
	if key == nil {
		return "the request has no key"
	}
	return "the key belongs to no client account"
}

// accountName returns the name of the caller's account, empty for none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}
