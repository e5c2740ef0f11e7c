package headbudget

const (
	// lineCost is the memory that a parsed header line takes besides its text, in bytes: an entry
	// of a map, a slice, and a message between nodes.
	lineCost = 256
	// byteCost is how often the text of a head is held: as it was read, parsed and forwarded.
	byteCost = 3
	// freeCost is the cost up to which a head is not charged, in bytes. It exceeds that of
	// ordinary heads, so that they never wait.
	freeCost = 12 << 10
)

// Cost returns the memory in bytes to charge for a head of that size while its request is in
// flight. It is 0 for an ordinary head.
func Cost(bytes, lines int) int64 {
	return max(int64(byteCost*bytes+lineCost*lines)-freeCost, 0)
}
