// Package quota enforces a rate limit for each client account over all nodes together, without a
// call to the platform and without agreement between nodes.
//
// Every node owns an equal share of every account's rate: one part in as many as there are hosts.
// It lends its share to its parent in the tree, and the parent lends all that it holds to its own,
// so that the node at the top fills a pool of tokens for each account and grants them on demand. A
// share is lent for a limited time, measured by the borrower's clock, and its lender uses it again
// only after that time has passed. So each share is used by one node at a time, whatever messages
// are lost, late or doubled and however the tree breaks apart: the sum of what all nodes grant stays
// within the limit by construction. A node that is cut off goes on with its own share.
//
// The package is pure: it uses no clock, I/O or goroutines.
package quota
