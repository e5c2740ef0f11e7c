package load

import (
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func writeFile(t *testing.T, name, content string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestScheduleFollowsPhaseRates(t *testing.T) {
	phases, err := parsePhases("10s@100,5s@0,10s@400")
	if err != nil {
		t.Fatal(err)
	}
	s := newSchedule(phases, rand.New(rand.NewPCG(1, 0)))
	var counts [3]int
	last := time.Duration(0)
	for at, ok := s.next(); ok; at, ok = s.next() {
		if at < last {
			t.Fatalf("arrival at %s comes after one at %s", at, last)
		}
		last = at
		switch {
		case at < 10*time.Second:
			counts[0]++
		case at < 15*time.Second:
			counts[1]++
		default:
			counts[2]++
		}
	}
	// The bounds are about five standard deviations of a Poisson count away from
	// the means of 1000 and 4000.
	if counts[0] < 850 || counts[0] > 1150 || counts[1] != 0 || counts[2] < 3700 || counts[2] > 4300 {
		t.Fatalf("arrivals %v", counts)
	}
}

func TestMalformedSettingsAreRejected(t *testing.T) {
	for _, text := range []string{"", "10s", "x@1", "10s@-1", "0s@1"} {
		if _, err := parsePhases(text); err == nil {
			t.Errorf("phases %q are accepted", text)
		}
	}
	for _, text := range []string{"", "[class a]", "[class a]\nservice=x\nweight=-1", "[class a]\nservice=x\ntimeout=0s"} {
		if _, err := LoadMix([]byte(text)); err == nil {
			t.Errorf("mix %q is accepted", text)
		}
	}
}

func TestClassesArePickedByWeight(t *testing.T) {
	mix, err := LoadMix([]byte("[class a]\nservice=x\nweight=3\n[class b]\nservice=x\nweight=1\n"))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 0))
	var a int
	for range 4000 {
		if mix.pick(rng).Name == "a" {
			a++
		}
	}
	if a < 2850 || a > 3150 {
		t.Fatalf("class a was picked %d of 4000 times", a)
	}
}

// TestRecoveryTimeIsMeasured loses all answers from the start of the cause until
// a random time after its end.
func TestRecoveryTimeIsMeasured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const from, to, end = 10 * time.Second, 15 * time.Second, 40 * time.Second
		recoveredAt := to + time.Duration(rapid.IntRange(0, 60).Draw(t, "half seconds"))*bucketWidth
		var s series
		for at := time.Duration(0); at < end; at += 20 * time.Millisecond {
			s.add(at, at < from || at >= recoveredAt)
		}
		want := recoveredAt - to
		if recoveredAt+2*bucketsPerWindow*bucketWidth > end {
			want = notRecovered
		}
		got := s.recovery(from, to)
		if got != want {
			t.Fatalf("recovered after %s, want %s", got, want)
		}
	})
}

func TestReportIsRendered(t *testing.T) {
	mix, err := LoadMix([]byte(strings.ReplaceAll(testMix, "purchase", "browse") + testMix))
	if err != nil {
		t.Fatal(err)
	}
	var submissions []*submission
	for i := range 40 {
		submissions = append(submissions, &submission{
			class:    mix.Classes[i%2],
			arrival:  time.Duration(i) * time.Second,
			latency:  time.Duration(i) * time.Millisecond,
			attempts: []attempt{{verdict: Verdict(i % 7 % numVerdicts), ending: []string{"", "refused/deadline", "unknown/key_held"}[i%3]}},
		})
	}
	r := newReport(40*time.Second, mix, submissions)
	r.causeFrom, r.causeTo = 10*time.Second, 20*time.Second
	goldie.New(t).Assert(t, "report", []byte(r.Line()+"\n\n"+r.Table()))
}
