package target

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/execution"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// holderWatch notices lost members of the service whose keys this node holds.
// A key has two holders. One loss leaves the other, and a claim made after it
// is recorded at the replacement. A second loss can therefore lose only claims
// made before the first, so keys minted before then are no longer proved.
type holderWatch struct {
	version  uint64
	service  string
	members  map[string]bool
	lastLoss time.Time // zero before the first
}

// update compares the members of the service with those seen last.
func (w *holderWatch) update(fleet kernel.Fleet, service string, claims *execution.Claims, now time.Time) {
	version := fleet.Version()
	if version == w.version && service == w.service {
		return
	}
	current := map[string]bool{}
	for _, m := range fleet.Members(service) {
		current[m.ID] = true
	}
	if service == w.service {
		w.countLosses(current, claims, now)
	}
	w.version = version
	w.service = service
	w.members = current
}

func (w *holderWatch) countLosses(current map[string]bool, claims *execution.Claims, now time.Time) {
	for id := range w.members {
		if current[id] {
			continue
		}
		if !w.lastLoss.IsZero() {
			claims.TakeOver(w.lastLoss)
		}
		w.lastLoss = now
	}
}
