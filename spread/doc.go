// Package spread carries configuration records from the platform's store to
// all nodes, and chooses the few nodes that watch the store.
//
// A record has a revision of the store. A node that gets a newer record pushes
// it to a few random peers, which do the same. Each node compares a digest of
// all records with one random peer a second, which repairs what the push lost
// (push and pull as in Demers et al., Epidemic Algorithms for Replicated
// Database Maintenance, 1987). Revisions never fall.
//
// Spreader and Contacts are pure state machines driven by messages and passed
// time. They are not safe for concurrent use.
package spread
