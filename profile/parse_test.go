package profile

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

const badText = `loose = 1

[profile]
owners = Ann Lee

[class report-purchase]
priority = urgent
deadline = 5ms
retries = 99
methods = post
paths = reports, /a/../b
colour = red

[class browsing]
priority = low
priority = high
deadline = 2s
idempotent = true
paths = /*, /quotes

[class quotes]
priority = normal
deadline = 1s
idempotent = false
methods = GET
paths = /quotes, /quotes

[class quotes]
priority = low

[class also-browsing]
priority = low
deadline = 2s
idempotent = false
paths = /*

[sub-call]
retries = 2

[colours]
red = true
`

func TestParseReportsEveryFault(t *testing.T) {
	_, err := Parse("Evening", []byte(badText))
	if errs.KindOf(err) != errs.Invalid {
		t.Fatalf("kind %v", errs.KindOf(err))
	}
	goldie.New(t).Assert(t, "faults", []byte(FaultsOf(err).Error()+"\n"))
}

func TestNodesIgnoreKeysOfANewerVersion(t *testing.T) {
	text := []byte("[default]\nretries = 1\nhedge = 2\n[hedging]\nafter = 1s\n")
	p, ignored, err := ParseLenient("evening", text)
	if err != nil || p.Default.Retries != 1 {
		t.Fatalf("profile %+v, error %v", p, err)
	}
	if diff := cmp.Diff([]string{"[default] hedge", "[hedging]"}, ignored); diff != "" {
		t.Fatal(diff)
	}
	if _, err := Parse("evening", text); len(FaultsOf(err)) != 2 {
		t.Fatalf("strict parse: %v", err)
	}
}

func drawName(t *rapid.T) string {
	return rapid.StringMatching(`[a-z]([a-z0-9-]{0,8}[a-z0-9])?`).Draw(t, "name")
}

func drawProfile(t *rapid.T) *Profile {
	p := newProfile(drawName(t))
	p.Owners = rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,6}`), 0, 3).Draw(t, "owners")
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`c[a-z0-9]{1,6}`), 0, 5, rapid.ID[string]).Draw(t, "classes")
	for i, name := range names {
		c := drawClass(t, name)
		c.Methods = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "POST", "PUT"}), 1, 3, rapid.ID[string]).Draw(t, "methods")
		c.Paths = []string{fmt.Sprintf("/%d", i), fmt.Sprintf("/%d/*", i)}
		p.Classes = append(p.Classes, c)
	}
	p.Default = drawClass(t, defaultClassName)
	p.SubCall.Deadline = drawDeadline(t)
	p.deriveDefaults()
	return p
}

func drawDeadline(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(int64(MinDeadline), int64(MaxDeadline)).Draw(t, "deadline"))
}

func drawClass(t *rapid.T, name string) Class {
	return Class{
		Name:       name,
		Priority:   call.Priority(rapid.IntRange(0, call.NumPriorities-1).Draw(t, "priority")),
		Deadline:   drawDeadline(t),
		Retries:    rapid.IntRange(0, MaxRetries).Draw(t, "retries"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
}

func TestFormatParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		got, err := Parse(p.Name, p.Format())
		if err != nil {
			t.Fatalf("%v in\n%s", err, p.Format())
		}
		if diff := cmp.Diff(p, got, cmp.AllowUnexported(Profile{}), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Any text yields either a profile or an error, and nodes can read every profile that
// can be published.
func TestParseAcceptsArbitraryText(t *testing.T) {
	line := rapid.SampledFrom(strings.Split(badText, "\n"))
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.OneOf(line, rapid.String())).Draw(t, "lines")
		text := []byte(strings.Join(lines, "\n"))
		strict, strictErr := Parse("evening", text)
		lenient, _, lenientErr := ParseLenient("evening", text)
		if (strict == nil) == (strictErr == nil) || (lenient == nil) == (lenientErr == nil) {
			t.Fatal("want either a profile or an error")
		}
		if strictErr == nil && lenientErr != nil {
			t.Fatalf("nodes refuse a profile that was published: %v", lenientErr)
		}
	})
}

func TestMatchTakesTheMostSpecificClass(t *testing.T) {
	const text = `
[class purchase]
priority = critical
deadline = 8s
idempotent = false
methods = POST
paths = /reports
[class browse]
priority = low
deadline = 2s
idempotent = true
methods = GET
paths = /*
[class cones]
priority = critical
deadline = 1s
idempotent = false
paths = /cones/*
[class cone-table]
priority = high
deadline = 1s
idempotent = true
methods = GET
paths = /cones/table/*
[default]
idempotent = true
`
	p, err := Parse("evening", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ method, path, class string }{
		{"POST", "/reports", "purchase"},
		{"POST", "/reports/", "purchase"},
		{"POST", "//a/../reports", "purchase"},
		{"GET", "/reports", "browse"},
		{"GET", "/", "browse"},
		{"PATCH", "/cones/6", "cones"},
		{"GET", "/cones/", "cones"},
		{"GET", "/cones", "browse"},
		{"GET", "/cones/table/6", "cone-table"},
		{"PUT", "/cones/table/6", "cones"},
		{"PUT", "/other", "default"},
	} {
		if got := p.Match(c.method, c.path); got.Name != c.class {
			t.Errorf("%s %s is %s, want %s", c.method, c.path, got.Name, c.class)
		}
	}
	if !p.Match("PUT", "/other").Idempotent || p.Match("POST", "/other").Idempotent || p.Match("post", "/reports").Idempotent {
		t.Error("only idempotent methods should get an idempotent default")
	}
}

func BenchmarkMatch(b *testing.B) {
	text, err := os.ReadFile("../profiles/bluebonnet.ini")
	if err != nil {
		b.Fatal(err)
	}
	p, err := Parse("bluebonnet", text)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		p.Match("GET", "/quotes/7")
	}
}
