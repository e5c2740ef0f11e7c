package headbudget

const (
	// unparsedFraction is the part of the memory, as its divisor, that heads which callers are
	// still sending may take, and large messages about control state. The parsed heads of callers
	// and of other nodes get half of the rest each.
	unparsedFraction = 5

	// DefaultMemory is the memory for heads in bytes if the settings give none.
	DefaultMemory = 48 << 20

	// MaxReadAhead bounds the requests that are read although an earlier request of their
	// connection is unanswered. Each takes some 20 KB in flight.
	MaxReadAhead = 2048
)

// Heads are the budgets of a node.
type Heads struct {
	Reading   *Budget // bytes of heads that callers are sending
	Callers   *Budget // bytes of parsed heads of requests of callers, see Cost
	Nodes     *Budget // bytes of parsed heads of calls that other nodes send, see Cost
	Messages  *Budget // bytes of large messages about control state that are being read
	ReadAhead *Budget // requests read behind unanswered ones
}

// NewHeads returns the budgets of a node that may use that many bytes for heads.
func NewHeads(memory int64) *Heads {
	unparsed := memory / unparsedFraction
	parsed := (memory - 2*unparsed) / 2
	return &Heads{Reading: New(unparsed), Messages: New(unparsed), Callers: New(parsed), Nodes: New(parsed), ReadAhead: New(MaxReadAhead)}
}
