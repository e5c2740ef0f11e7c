package bench

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

const (
	numServices = 2100
	numProfiles = 300
)

func recordValue(b *testing.B, r profile.Record) []byte {
	value, err := r.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return profile.Compact(value)
}

// newBook returns the records of all services, each bound to one of the profiles.
func newBook(b *testing.B, body string) *profile.Book {
	book := profile.NewBook()
	revision := uint64(0)
	apply := func(r profile.Record) {
		revision++
		if applied, err := book.Apply(r.Kind.Key(r.Name), revision, recordValue(b, r)); err != nil {
			b.Fatalf("%v: %v", applied, err)
		}
	}
	for i := range numProfiles {
		apply(profile.Record{Kind: profile.KindProfile, Name: fmt.Sprintf("profile-%d", i), Body: body})
	}
	for i := range numServices {
		apply(profile.Record{Kind: profile.KindService, Name: fmt.Sprintf("service-%04d", i), Profile: fmt.Sprintf("profile-%d", i%numProfiles)})
	}
	return book
}

// BenchmarkRecords is the change of one profile on a node that holds all records,
// up to the new snapshot. It reports the heap that all records take.
func BenchmarkRecords(b *testing.B) {
	body, err := os.ReadFile("../profiles/bluebonnet.ini")
	if err != nil {
		b.Fatal(err)
	}
	before := heap()
	book := newBook(b, string(body))
	book.Snapshot()
	held := heap() - before
	change := recordValue(b, profile.Record{Kind: profile.KindProfile, Name: "profile-7", Body: string(body)})
	revision := uint64(1 << 20)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		if _, err := book.Apply("profiles/profile-7", revision, change); err != nil {
			b.Fatal(err)
		}
		book.Snapshot().Bindings()
	}
	b.ReportMetric(float64(held)/(1<<20), "held-MB")
	runtime.KeepAlive(book)
}
