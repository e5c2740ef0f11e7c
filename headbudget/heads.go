package headbudget

const (
	// unparsedFraction is the part of the memory, as its divisor, for what is read and not yet
	// parsed, and parsedKinds the number of budgets that share the rest.
	unparsedFraction = 8
	parsedKinds      = 4

	// DefaultMemory is the memory for heads in bytes if the settings give none.
	DefaultMemory = 64 << 20

	// MaxReadAhead bounds the requests that are read although an earlier request of their
	// connection is unanswered. Each takes some 20 KB in flight.
	MaxReadAhead = 2048
)

// Heads are the budgets of a node. Those of parsed heads count bytes as Cost does. Each stage has a
// budget of its own, so that none waits for a later one while it holds what that one needs.
type Heads struct {
	Reading        *Budget // bytes of heads that callers are sending
	Messages       *Budget // bytes of large messages about control state that are being read
	Callers        *Budget // parsed heads of requests of callers
	Nodes          *Budget // parsed heads of calls that other nodes send
	BackendAnswers *Budget // parsed heads of answers of the backend server
	NodeAnswers    *Budget // parsed heads of answers of other nodes
	ReadAhead      *Budget // requests read behind unanswered ones
}

// NewHeads returns the budgets of a node that may use that many bytes for heads.
func NewHeads(memory int64) *Heads {
	unparsed := memory / unparsedFraction
	parsed := (memory - 2*unparsed) / parsedKinds
	return &Heads{
		Reading: New(unparsed), Messages: New(unparsed), Callers: New(parsed), Nodes: New(parsed),
		BackendAnswers: New(parsed), NodeAnswers: New(parsed), ReadAhead: New(MaxReadAhead),
	}
}
