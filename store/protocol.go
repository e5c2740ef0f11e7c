package store

// Paths of the HTTP interface. Keys, prefixes and revisions are query values.
const (
	PathEntry   = "/v1/entry"   // GET, PUT with the value as body, DELETE
	PathEntries = "/v1/entries" // GET
	PathWatch   = "/v1/watch"   // GET
	PathLeases  = "/v1/leases"  // POST; PUT and DELETE below it
)

// Names of query values.
const (
	QueryKey    = "key"
	QueryPrefix = "prefix"
	QueryExpect = "expect"
	QueryAfter  = "after"
	QueryLease  = "lease"
	QueryWaitMS = "wait_ms"
	QueryTTLMS  = "ttl_ms"
)

// Listing is the answer to a list or a watch.
type Listing struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// Written is the answer to a write.
type Written struct {
	Revision uint64 `json:"revision"`
}

// Granted is the answer to a grant.
type Granted struct {
	Lease string `json:"lease"`
}
