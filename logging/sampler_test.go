package logging

import "testing"

func TestNotableRequestsAreKeptUpToTheRateLimit(t *testing.T) {
	s := NewSampler(100)
	sampled := 0
	for cohort := range uint32(1000) {
		if s.Keep(false, cohort) {
			sampled++
		}
	}
	if sampled != 10 {
		t.Errorf("%d of 1000 ordinary requests were sampled, want 10", sampled)
	}
	kept := 0
	for cohort := range uint32(2 * maxLoggedRequestsPerSecond) {
		if s.Keep(true, cohort) {
			kept++
		}
	}
	ordinary, throttled := s.Skipped()
	if kept < maxLoggedRequestsPerSecond-10 || kept+int(throttled) != 2*maxLoggedRequestsPerSecond {
		t.Errorf("%d notable requests kept, %d above the rate limit", kept, throttled)
	}
	if ordinary != 990 {
		t.Errorf("%d ordinary requests counted as left out, want 990", ordinary)
	}
}

func TestIntervalOfOneKeepsEveryRequest(t *testing.T) {
	s := NewSampler(1)
	for cohort := range uint32(5 * maxLoggedRequestsPerSecond) {
		if !s.Keep(false, cohort) {
			t.Fatal("a request was left out at an interval of 1")
		}
	}
}
