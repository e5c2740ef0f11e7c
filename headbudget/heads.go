package headbudget

const (
	// readingFraction is the part of the memory for heads, as its divisor, that those may take
	// that are still being read. Callers and other nodes get half of the rest each.
	readingFraction = 5

	// DefaultMemory is the memory for heads in bytes if the settings give none.
	DefaultMemory = 40 << 20

	// MaxReadAhead bounds the requests that are read although an earlier request of their
	// connection is unanswered. Each takes some 20 KB in flight.
	MaxReadAhead = 2048
)

// Heads are the budgets of a node.
type Heads struct {
	Reading   *Budget // bytes of heads that callers are sending
	Callers   *Budget // bytes of parsed heads of requests of callers, see Cost
	Nodes     *Budget // bytes of parsed heads of calls that other nodes send, see Cost
	ReadAhead *Budget // requests read behind unanswered ones
}

// NewHeads returns the budgets of a node that may use that many bytes for heads.
func NewHeads(memory int64) *Heads {
	reading := memory / readingFraction
	parsed := (memory - reading) / 2
	return &Heads{Reading: New(reading), Callers: New(parsed), Nodes: New(parsed), ReadAhead: New(MaxReadAhead)}
}
