package spread

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bytelimit"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Waits between syncs.
const (
	syncInterval  = 200 * time.Millisecond
	retryInterval = time.Second
)

// maxWants limits the keys asked for in one sync.
const maxWants = 64

// syncer pulls records from peers over streams, one sync at a time.
type syncer struct {
	wants      map[string]*want // by key
	suspects   string           // id of a peer whose digest differs
	mismatches int              // digests in a row that differed
	offers     []*stored        // records that offerTo lacks
	offerTo    string
	compared   map[string]bool // failure domains compared since the start
	enough     bool            // the start is over
	next       time.Time
	pull       bytelimit.Bucket
	flight     syncFlight
}

// want is a record that peers hold in a newer revision.
type want struct {
	revision uint64
	from     []string // ids of peers that hold it; none for any peer
}

// maxSources limits the peers noted for one want.
const maxSources = 4

// syncFlight is the sync in progress.
type syncFlight struct {
	peer    Peer
	until   time.Time
	buckets bool // compares buckets
}

func (y *syncer) init(cfg Config, now time.Time) {
	y.wants = map[string]*want{}
	y.compared = map[string]bool{}
	y.pull = bytelimit.New(cfg.PullBytesPerSecond, cfg.BurstBytes, now)
	y.next = now
}

// want notes that a peer holds a newer revision.
func (y *syncer) want(key string, revision uint64, from string) {
	w := y.wants[key]
	if w == nil || w.revision < revision {
		w = &want{revision: revision}
		y.wants[key] = w
	}
	if w.revision == revision && from != "" && len(w.from) < maxSources && !slices.Contains(w.from, from) {
		w.from = append(w.from, from)
	}
}

// forget removes a peer from the sources of all wants.
func (y *syncer) forget(peer string) {
	for _, w := range y.wants {
		w.from = slices.DeleteFunc(w.from, func(id string) bool { return id == peer })
	}
}

// got forgets a want that r fulfils.
func (y *syncer) got(r Record) {
	if w := y.wants[r.Key]; w != nil && r.Revision >= w.revision {
		delete(y.wants, r.Key)
	}
}

// reconcile notes a peer to compare buckets with.
func (y *syncer) reconcile(peer string) { y.suspects = peer }

// Want asks for keys ahead of all others, for a starting node that needs them.
func (s *Spreader) Want(keys ...string) {
	for _, key := range keys {
		if s.set.byKey[key] == nil {
			s.sync.want(key, 1, "")
		}
	}
}

// Synced reports whether records were compared with nodes of enough failure
// domains since the start and none of them held a newer one.
func (s *Spreader) Synced() bool { return s.sync.enough }

// SyncRequest returns the request that is due and the peer to send it to. The
// adapter calls it on each tick and ends each request with SyncReply or
// SyncFailed.
func (s *Spreader) SyncRequest(now time.Time, peers Peers) (peer Peer, payload []byte, ok bool) {
	y := &s.sync
	if now.Before(y.next) || now.Before(y.flight.until) {
		return Peer{}, nil, false
	}
	if y.pull.Room(now) <= 0 || s.out.Room(now) <= 0 {
		return Peer{}, nil, false
	}
	req := &wire.SyncRequest{From: s.self.ID}
	peer, buckets, ok := s.nextSync(req, peers)
	if !ok {
		return Peer{}, nil, false
	}
	if buckets {
		req.Buckets = s.set.buckets[:]
		y.suspects = ""
		y.mismatches = 0
	}
	payload = wire.Encode(req)
	y.flight = syncFlight{peer: peer, until: now.Add(s.cfg.SyncTimeout), buckets: buckets}
	s.spend(len(payload)+bytelimit.ExchangeOverhead, now)
	s.stats.Syncs++
	return peer, payload, true
}

// nextSync chooses the peer and fills in wants and offers, or tells to compare
// buckets.
func (s *Spreader) nextSync(req *wire.SyncRequest, peers Peers) (peer Peer, buckets, ok bool) {
	y := &s.sync
	if peer, ok := peers.Lookup(y.offerTo); ok && len(y.offers) > 0 {
		s.addOffers(req)
		s.addWants(req, peer.ID)
		return peer, false, true
	}
	y.offers = nil
	if peer, ok := s.wantPeer(peers); ok {
		s.addWants(req, peer.ID)
		return peer, false, true
	}
	if peer, ok := peers.Lookup(y.suspects); ok {
		return peer, true, true
	}
	if !y.enough {
		peer, ok := s.startPeer(peers)
		return peer, true, ok
	}
	return Peer{}, false, false
}

// wantPeer returns a random peer that holds a wanted record.
func (s *Spreader) wantPeer(peers Peers) (Peer, bool) {
	for _, key := range sortedKeys(s.sync.wants) {
		w := s.sync.wants[key]
		for len(w.from) > 0 {
			id := w.from[s.rng.IntN(len(w.from))]
			if peer, ok := peers.Lookup(id); ok {
				return peer, true
			}
			s.sync.forget(id)
		}
		if peer, ok := s.anyPeer(peers); ok {
			return peer, true
		}
	}
	return Peer{}, false
}

// anyPeer returns a random node, if possible of the own region.
func (s *Spreader) anyPeer(peers Peers) (Peer, bool) {
	if picked := peers.Pick(s.self.Region, 1); len(picked) > 0 {
		return picked[0], true
	}
	for _, region := range peers.Regions() {
		if picked := peers.Pick(region, 1); len(picked) > 0 {
			return picked[0], true
		}
	}
	return Peer{}, false
}

// startPeers is the number of nodes looked at for one of a new failure domain.
const startPeers = 8

// startPeer returns a node of a failure domain not compared with yet. When it
// finds none, the domains at hand are enough.
func (s *Spreader) startPeer(peers Peers) (Peer, bool) {
	known := false
	for _, region := range peers.Regions() {
		for _, p := range peers.Pick(region, startPeers) {
			known = true
			if !s.sync.compared[p.Domain] {
				return p, true
			}
		}
	}
	s.sync.enough = known && len(s.sync.compared) > 0
	return Peer{}, false
}

// addWants asks for the wanted keys that a peer may hold.
func (s *Spreader) addWants(req *wire.SyncRequest, peer string) {
	for _, key := range sortedKeys(s.sync.wants) {
		if len(req.Keys) == maxWants {
			return
		}
		if w := s.sync.wants[key]; len(w.from) == 0 || slices.Contains(w.from, peer) {
			req.Keys = append(req.Keys, key)
		}
	}
}

// addOffers adds records that the peer lacks, up to the size of a page.
func (s *Spreader) addOffers(req *wire.SyncRequest) {
	y := &s.sync
	for len(y.offers) > 0 && (len(req.Records) == 0 || proto.Size(req) < s.cfg.PageBytes) {
		req.Records = append(req.Records, y.offers[0].wire)
		y.offers = y.offers[1:]
	}
}

// SyncReply takes in the reply of a peer. Malformed input is counted and gives
// an error of kind errs.Invalid.
func (s *Spreader) SyncReply(peerID string, payload []byte, now time.Time) error {
	y := &s.sync
	flight := y.flight
	if flight.peer.ID != peerID {
		return nil
	}
	reply := &wire.SyncReply{}
	if err := wire.Decode(payload, reply); err != nil {
		s.stats.Malformed++
		s.SyncFailed(peerID, now)
		return err
	}
	y.flight = syncFlight{}
	y.pull.Room(now)
	y.pull.Spend(len(payload) + bytelimit.ExchangeOverhead)
	if reply.Busy {
		s.busy(flight, now)
		return nil
	}
	y.next = now.Add(syncInterval)
	s.floor = max(s.floor, reply.Floor)
	err := s.applyAll(peerID, reply.Records, now)
	if flight.buckets {
		s.afterBuckets(flight.peer, reply)
	} else {
		s.dropUnmet()
	}
	return err
}

// busy turns to other peers that hold what is wanted, or waits if there are
// none.
func (s *Spreader) busy(flight syncFlight, now time.Time) {
	y := &s.sync
	others := false
	for _, w := range y.wants {
		if len(w.from) > 1 {
			w.from = slices.DeleteFunc(w.from, func(id string) bool { return id == flight.peer.ID })
			others = true
		}
	}
	y.next = now.Add(syncInterval)
	if !others {
		y.next = now.Add(jitter(s.rng, retryInterval))
	}
}

// afterBuckets notes what the peer lacks in the differing buckets.
func (s *Spreader) afterBuckets(peer Peer, reply *wire.SyncReply) {
	y := &s.sync
	theirs := map[string]uint64{}
	for _, m := range reply.Records {
		theirs[m.Key] = m.Revision
	}
	y.offerTo = peer.ID
	y.offers = nil
	for _, bucket := range reply.Buckets {
		for _, r := range s.set.inBucket(bucket) {
			if r.Revision > theirs[r.Key] {
				y.offers = append(y.offers, r)
			}
		}
	}
	if !s.wantsFrom(peer.ID) {
		y.compared[peer.Domain] = true
		y.enough = y.enough || len(y.compared) >= s.cfg.SyncDomains
	}
}

// wantsFrom reports whether a peer holds newer records.
func (s *Spreader) wantsFrom(peer string) bool {
	for _, w := range s.sync.wants {
		if slices.Contains(w.from, peer) {
			return true
		}
	}
	return false
}

// dropUnmet forgets wants of keys that no node is known to hold.
func (s *Spreader) dropUnmet() {
	for key, w := range s.sync.wants {
		if len(w.from) == 0 {
			delete(s.sync.wants, key)
		}
	}
}

// SyncFailed tells that a peer did not reply. What it was to give is asked of
// others.
func (s *Spreader) SyncFailed(peerID string, now time.Time) {
	y := &s.sync
	if y.flight.peer.ID != peerID {
		return
	}
	y.flight = syncFlight{}
	y.offers = nil
	y.next = now.Add(jitter(s.rng, retryInterval))
	y.forget(peerID)
}

// Sync answers the request of a peer. Malformed input is counted and gives an
// error of kind errs.Invalid.
func (s *Spreader) Sync(payload []byte, now time.Time) ([]byte, error) {
	req := &wire.SyncRequest{}
	if err := wire.Decode(payload, req); err != nil {
		s.stats.Malformed++
		return nil, err
	}
	err := s.applyAll(req.From, req.Records, now)
	reply := &wire.SyncReply{Floor: s.floor}
	switch {
	case s.out.Room(now) <= 0:
		reply.Busy = true
		s.stats.BusyReplies++
	case len(req.Buckets) == numBuckets:
		s.listBuckets(req, reply)
	default:
		s.addWanted(req, reply, min(s.cfg.PageBytes, s.out.Room(now)))
	}
	b := wire.Encode(reply)
	s.spend(len(b)+bytelimit.ExchangeOverhead, now)
	return b, err
}

// listBuckets adds the revisions held in differing buckets, from a random one
// on, up to the size of a page.
func (s *Spreader) listBuckets(req *wire.SyncRequest, reply *wire.SyncReply) {
	start := s.rng.IntN(numBuckets)
	size := 0
	for i := range numBuckets {
		b := uint32((start + i) % numBuckets)
		if req.Buckets[b] == s.set.buckets[b] {
			continue
		}
		for _, r := range s.set.inBucket(b) {
			m := r.advert()
			size += fieldSize(m)
			reply.Records = append(reply.Records, m)
		}
		reply.Buckets = append(reply.Buckets, b)
		if size >= s.cfg.PageBytes {
			return
		}
	}
}

// addWanted adds the wanted records, up to room bytes but at least one.
func (s *Spreader) addWanted(req *wire.SyncRequest, reply *wire.SyncReply, room int) {
	size := 0
	for _, key := range req.Keys {
		r := s.set.byKey[key]
		if r == nil {
			continue
		}
		size += fieldSize(r.wire)
		if size > room && len(reply.Records) > 0 {
			return
		}
		reply.Records = append(reply.Records, r.wire)
	}
}
