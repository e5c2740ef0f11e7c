package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/execution"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	crashTopic  = "crash"
	permitTopic = "permit"

	// permitTimeout is several times the round trip between regions.
	permitTimeout = 200 * time.Millisecond

	// reportTimeout bounds the delivery of a crash report; reportWait bounds the time
	// that the failed calls wait for it.
	reportTimeout = time.Second
	reportWait    = 100 * time.Millisecond

	// unknownAge is the age of a run in a report of a node that does not tell it. It is so
	// long that the run counts as one from before the request was suspect.
	unknownAge = time.Hour

	// coordinatorCount is the number of nodes that are asked for a permit, one after the
	// other. The second one is asked if the first does not answer.
	coordinatorCount = 2
)

// broadcastCrash tells all other nodes of a crash. It returns once they have answered or
// after reportWait, so that a caller which is told of the failure afterwards and tries
// again meets nodes that know.
func (q *plugin) broadcastCrash(start string, runs []quarantine.Run) {
	report := &wire.CrashReport{Start: start}
	for _, r := range runs {
		report.Fingerprints = append(report.Fingerprints, uint64(r.Fingerprint))
		report.AgeMs = append(report.AgeMs, uint32(r.Age.Milliseconds()))
		if r.Alone {
			report.Alone = append(report.Alone, uint64(r.Fingerprint))
		}
	}
	payload := wire.Encode(report)
	var wg sync.WaitGroup
	for _, m := range q.k.Fleet.All() {
		if m.ID != q.k.NodeID {
			wg.Go(func() { q.sendCrashReport(m, start, payload) })
		}
	}
	delivered := make(chan struct{})
	go func() {
		wg.Wait()
		close(delivered)
	}()
	select {
	case <-delivered:
	case <-time.After(reportWait):
	}
}

func (q *plugin) sendCrashReport(m membership.Member, start string, payload []byte) {
	ctx, cancel := context.WithTimeout(q.ctx, reportTimeout)
	defer cancel()
	if _, err := q.k.Transport.Exchange(ctx, m.Addr, crashTopic, payload); err != nil {
		q.log.Info("crash_report_lost", zap.String("member", m.ID), zap.String("start", start), zap.Error(err))
	}
}

// serveCrash handles a CrashReport.
func (q *plugin) serveCrash(_ string, payload []byte) ([]byte, error) {
	var report wire.CrashReport
	if err := wire.Decode(payload, &report); err != nil {
		return nil, err
	}
	runs := make([]quarantine.Run, 0, len(report.GetFingerprints()))
	for i, f := range report.GetFingerprints() {
		r := quarantine.Run{Fingerprint: quarantine.Fingerprint(f), Alone: slices.Contains(report.GetAlone(), f), Age: unknownAge}
		if i < len(report.GetAgeMs()) {
			r.Age = time.Duration(report.GetAgeMs()[i]) * time.Millisecond
		}
		runs = append(runs, r)
	}
	q.recordCrash(report.GetStart(), runs)
	return wire.Encode(&wire.CrashReply{}), nil
}

// broadcastClear tells all other nodes that the quarantine of a request has ended.
func (q *plugin) broadcastClear(f quarantine.Fingerprint) {
	payload := wire.Encode(&wire.PermitRequest{Fingerprint: uint64(f), Return: true, Clear: true})
	for _, m := range q.k.Fleet.All() {
		if m.ID != q.k.NodeID {
			go q.sendClear(m, f, payload)
		}
	}
}

func (q *plugin) sendClear(m membership.Member, f quarantine.Fingerprint, payload []byte) {
	ctx, cancel := context.WithTimeout(q.ctx, reportTimeout)
	defer cancel()
	if _, err := q.k.Transport.Exchange(ctx, m.Addr, permitTopic, payload); err != nil {
		q.log.Info("quarantine_end_lost", zap.String("member", m.ID), zap.Stringer("fingerprint", f), zap.Error(err))
	}
}

// acquire asks the coordinator of a suspect request, on which all nodes agree as far as
// they know the same members, whether it may run. If no coordinator answers, a request
// that must run alone, because its next crash may quarantine it, waits; any other runs.
func (q *plugin) acquire(ctx context.Context, f quarantine.Fingerprint, attempt string, mustRunAlone bool) verdict {
	ctx, cancel := context.WithTimeout(ctx, coordinatorCount*permitTimeout)
	defer cancel()
	for _, m := range q.coordinators(f) {
		if m.ID == q.k.NodeID {
			return verdict{q.acquireHere(f, attempt), true}
		}
		if v, err := q.ask(ctx, m, f, attempt); err == nil {
			return verdict{v, true}
		}
	}
	if mustRunAlone {
		return verdict{Verdict: quarantine.Verdict{Kind: quarantine.Busy}}
	}
	return verdict{Verdict: quarantine.Verdict{Kind: quarantine.Granted}}
}

// acquireHere decides on a request that this node coordinates.
func (q *plugin) acquireHere(f quarantine.Fingerprint, attempt string) quarantine.Verdict {
	var v quarantine.Verdict
	known := false
	q.update(func(t *quarantine.Table) {
		known = t.Quarantined(f)
		v = t.Acquire(f, attempt, time.Now())
	})
	if v.Kind == quarantine.Quarantined && !known {
		q.announceQuarantine(f)
	}
	return v
}

// coordinates reports whether this node is the first one that is asked about a request.
func (q *plugin) coordinates(f quarantine.Fingerprint) bool {
	return q.coordinators(f)[0].ID == q.k.NodeID
}

// coordinators returns the nodes that coordinate a request, in the order in which they
// are asked.
func (q *plugin) coordinators(f quarantine.Fingerprint) []membership.Member {
	byID := map[string]membership.Member{}
	ids := []string{q.k.NodeID}
	byID[q.k.NodeID] = membership.Member{ID: q.k.NodeID}
	for _, m := range q.k.Fleet.All() {
		if m.State != membership.Lapsed {
			byID[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	var list []membership.Member
	for _, id := range execution.Holders(f.String(), ids, coordinatorCount) {
		list = append(list, byID[id])
	}
	return list
}

// ask asks another node for a permit.
func (q *plugin) ask(ctx context.Context, m membership.Member, f quarantine.Fingerprint, attempt string) (quarantine.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply wire.PermitReply
	req := &wire.PermitRequest{Fingerprint: uint64(f), Holder: attempt, Crashes: q.knownCrashes(f), Quarantined: q.isQuarantined(f)}
	payload, err := q.k.Transport.Exchange(ctx, m.Addr, permitTopic, wire.Encode(req))
	if err == nil {
		err = wire.Decode(payload, &reply)
	}
	if err != nil {
		q.log.Info("permit_request_failed", zap.String("member", m.ID), zap.Stringer("fingerprint", f), zap.Error(err))
		return quarantine.Verdict{}, err
	}
	q.merge(f, reply.GetCrashes())
	return quarantine.Verdict{Kind: verdictFromWire[reply.GetVerdict()], Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond}, nil
}

// knownCrashes returns the crashes that this node counts against a request, for a
// message.
func (q *plugin) knownCrashes(f quarantine.Fingerprint) []*wire.Crash {
	var list []*wire.Crash
	now := time.Now()
	q.update(func(t *quarantine.Table) {
		for _, c := range t.Known(f) {
			list = append(list, &wire.Crash{Start: c.Start, AgeMs: ageMs(now.Sub(c.At)), Repeated: c.Repeated})
		}
	})
	return list
}

// ageMs returns an age for a message, rounded up so that a crash from before an answer
// does not seem to have come after it.
func ageMs(age time.Duration) uint32 {
	return uint32((max(age, 0) + time.Millisecond - 1).Milliseconds())
}

// merge adds the crashes that another node knows of. A node that was started or joined
// lately, like a coordinator that has just become one, has missed reports.
func (q *plugin) merge(f quarantine.Fingerprint, list []*wire.Crash) {
	now := time.Now()
	var crashes []quarantine.Crash
	for _, c := range list {
		crashes = append(crashes, quarantine.Crash{Start: c.GetStart(), At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond), Repeated: c.GetRepeated()})
	}
	q.update(func(t *quarantine.Table) { t.Merge(f, crashes) })
}

// returnPermit gives a permit back to the coordinators, or clears a request that ran
// without one.
func (q *plugin) returnPermit(f quarantine.Fingerprint, p kernel.Permit, complete bool) {
	req := &wire.PermitRequest{Fingerprint: uint64(f), Holder: p.Holder, Return: true, Clear: complete}
	ctx, cancel := context.WithTimeout(q.ctx, coordinatorCount*permitTimeout)
	defer cancel()
	for _, m := range q.coordinators(f) {
		if m.ID == q.k.NodeID {
			q.takeBack(req)
			continue
		}
		if _, err := q.k.Transport.Exchange(ctx, m.Addr, permitTopic, wire.Encode(req)); err != nil {
			q.log.Info("permit_not_returned", zap.String("member", m.ID), zap.Stringer("fingerprint", f), zap.Error(err))
		}
	}
}

// takeBack takes a permit back that this node may have granted.
func (q *plugin) takeBack(req *wire.PermitRequest) {
	f := quarantine.Fingerprint(req.GetFingerprint())
	if req.GetClear() {
		q.clear(f)
		return
	}
	q.update(func(t *quarantine.Table) { t.Return(f, req.GetHolder()) })
}

// servePermit handles a PermitRequest.
func (q *plugin) servePermit(_ string, payload []byte) ([]byte, error) {
	var req wire.PermitRequest
	if err := wire.Decode(payload, &req); err != nil {
		return nil, err
	}
	if req.GetReturn() {
		q.takeBack(&req)
		return wire.Encode(&wire.PermitReply{}), nil
	}
	f := quarantine.Fingerprint(req.GetFingerprint())
	if req.GetQuarantined() {
		q.update(func(t *quarantine.Table) { t.QuarantineDue(f, time.Now()) })
	}
	q.merge(f, req.GetCrashes())
	v := q.acquireHere(f, req.GetHolder())
	return wire.Encode(&wire.PermitReply{Verdict: verdictToWire[v.Kind], WaitMs: uint32(v.Wait.Milliseconds()), Crashes: q.knownCrashes(f)}), nil
}

var verdictToWire = map[quarantine.VerdictKind]wire.PermitVerdict{
	quarantine.Unsuspected: wire.PermitVerdict_PERMIT_VERDICT_UNSUSPECTED,
	quarantine.Granted:     wire.PermitVerdict_PERMIT_VERDICT_GRANTED,
	quarantine.Busy:        wire.PermitVerdict_PERMIT_VERDICT_BUSY,
	quarantine.Quarantined: wire.PermitVerdict_PERMIT_VERDICT_QUARANTINED,
}

// verdictFromWire is the inverse of verdictToWire. A reply without a verdict counts as
// Busy.
var verdictFromWire = map[wire.PermitVerdict]quarantine.VerdictKind{
	wire.PermitVerdict_PERMIT_VERDICT_UNSPECIFIED: quarantine.Busy,
	wire.PermitVerdict_PERMIT_VERDICT_UNSUSPECTED: quarantine.Unsuspected,
	wire.PermitVerdict_PERMIT_VERDICT_GRANTED:     quarantine.Granted,
	wire.PermitVerdict_PERMIT_VERDICT_BUSY:        quarantine.Busy,
	wire.PermitVerdict_PERMIT_VERDICT_QUARANTINED: quarantine.Quarantined,
}
