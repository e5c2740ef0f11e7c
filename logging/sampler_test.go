package logging

import "testing"

func TestNotableRequestsAreKeptUpToTheRate(t *testing.T) {
	s := NewSampler(100)
	drawn := 0
	for cohort := range uint32(1000) {
		if s.Keep(false, cohort) {
			drawn++
		}
	}
	if drawn != 10 {
		t.Errorf("%d of 1000 ordinary requests were drawn, want 10", drawn)
	}
	kept := 0
	for cohort := range uint32(2 * maxRequestsPerSecond) {
		if s.Keep(true, cohort) {
			kept++
		}
	}
	ordinary, throttled := s.Skipped()
	if kept < maxRequestsPerSecond-10 || kept+int(throttled) != 2*maxRequestsPerSecond {
		t.Errorf("%d notable requests kept, %d beyond the rate", kept, throttled)
	}
	if ordinary != 990 {
		t.Errorf("%d ordinary requests counted as left out, want 990", ordinary)
	}
}

func TestEverythingIsKeptByOne(t *testing.T) {
	s := NewSampler(1)
	for cohort := range uint32(5 * maxRequestsPerSecond) {
		if !s.Keep(false, cohort) {
			t.Fatal("a request was left out")
		}
	}
}
