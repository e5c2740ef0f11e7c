package retry

import "time"

// Share is the part of an Allowance that one call holds. The attempts of the call
// are sequential: each Grant must be followed by Return or Forfeit before the next
// Grant. It is safe for concurrent use with other shares of the same Allowance.
type Share struct {
	allowance *Allowance
	held      int
	granted   int
	closed    bool
}

// Take spends one retry of the share or, if the share is empty, of the allowance.
// It returns false if neither has one.
func (s *Share) Take() bool {
	s.allowance.mu.Lock()
	defer s.allowance.mu.Unlock()
	if s.closed {
		return false
	}
	if s.held > 0 {
		s.held--
		return true
	}
	if s.allowance.left > 0 {
		s.allowance.left--
		return true
	}
	return false
}

// Held returns the number of retries that the share holds.
func (s *Share) Held() int {
	s.allowance.mu.Lock()
	defer s.allowance.mu.Unlock()
	return s.held
}

// refund returns an unused retry to the share.
func (s *Share) refund() {
	s.allowance.mu.Lock()
	defer s.allowance.mu.Unlock()
	s.held++
}

// TakeWithBudget spends one retry as Take does and one of the budget. If either
// has none, it spends nothing and returns false.
func (s *Share) TakeWithBudget(c Call, b *Budget, now time.Time) bool {
	if !s.Take() {
		return false
	}
	if b.Withdraw(c.Preferred, now) {
		return true
	}
	s.refund()
	return false
}

// Grant moves the retries that the share holds to the next attempt and returns
// their number. An earlier grant that was not returned is forfeited.
func (s *Share) Grant() int {
	s.allowance.mu.Lock()
	defer s.allowance.mu.Unlock()
	if s.closed {
		return 0
	}
	s.granted = s.held
	s.held = 0
	return s.granted
}

// Return adds the n unspent retries that came back with the answer to the last
// attempt. n is capped at the grant, and a second Return for the same grant has no
// effect.
func (s *Share) Return(n int) {
	s.allowance.mu.Lock()
	defer s.allowance.mu.Unlock()
	n = min(max(n, 0), s.granted)
	s.granted = 0
	if s.closed {
		return
	}
	s.held += n
}

// Forfeit discards the grant of the last attempt after its answer was lost,
// because the target may have spent it.
func (s *Share) Forfeit() {
	s.allowance.mu.Lock()
	defer s.allowance.mu.Unlock()
	s.granted = 0
}

// Close ends the call and returns the retries that the share holds to the
// allowance. A grant that was not returned is forfeited. A second Close has no
// effect.
func (s *Share) Close() {
	s.allowance.mu.Lock()
	defer s.allowance.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.allowance.left += s.held
	s.held = 0
	s.granted = 0
}
