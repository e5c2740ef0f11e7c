package retry

import "time"

// Share is the part of an Allowance that one call holds. The attempts of the
// call are sequential: each Grant is followed by one Return or one Forfeit
// before the next Grant. It is safe for concurrent use with other shares of the
// same Allowance.
type Share struct {
	from       *Allowance
	held       int
	travelling int
	closed     bool
}

// Take spends one retry, from the share or, if that is empty, from the
// allowance. It reports false if neither has one.
func (s *Share) Take() bool {
	s.from.mu.Lock()
	defer s.from.mu.Unlock()
	if s.closed {
		return false
	}
	if s.held > 0 {
		s.held--
		return true
	}
	if s.from.left > 0 {
		s.from.left--
		return true
	}
	return false
}

// Held returns the number of retries that the share holds.
func (s *Share) Held() int {
	s.from.mu.Lock()
	defer s.from.mu.Unlock()
	return s.held
}

// untake gives back a retry that was taken and not used.
func (s *Share) untake() {
	s.from.mu.Lock()
	defer s.from.mu.Unlock()
	s.held++
}

// TakeWithBudget spends one retry of the share and of a budget, or none.
func (s *Share) TakeWithBudget(b *Budget, now time.Time) bool {
	if !s.Take() {
		return false
	}
	if b.Withdraw(now) {
		return true
	}
	s.untake()
	return false
}

// Grant moves what the share holds onto the next attempt and returns the
// number. A grant that was neither returned nor forfeited is forfeited.
func (s *Share) Grant() int {
	s.from.mu.Lock()
	defer s.from.mu.Unlock()
	if s.closed {
		return 0
	}
	s.travelling = s.held
	s.held = 0
	return s.travelling
}

// Return takes in the n unspent retries that came back on the answer to the
// last attempt. More than was granted is cut to the grant, and a second Return
// for the same grant has no effect.
func (s *Share) Return(n int) {
	s.from.mu.Lock()
	defer s.from.mu.Unlock()
	n = min(max(n, 0), s.travelling)
	s.travelling = 0
	if s.closed {
		return
	}
	s.held += n
}

// Forfeit gives up what travelled with the last attempt, because its answer
// was lost and the target may have spent it.
func (s *Share) Forfeit() {
	s.from.mu.Lock()
	defer s.from.mu.Unlock()
	s.travelling = 0
}

// Close ends the call and gives what the share holds back to the allowance. A
// grant that is still out is forfeited. Closing twice has no effect.
func (s *Share) Close() {
	s.from.mu.Lock()
	defer s.from.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.from.left += s.held
	s.held = 0
	s.travelling = 0
}
