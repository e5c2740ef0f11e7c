package spread

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// maxMismatches is the number of digests in a row that may differ before
// buckets are compared although records are changing.
const maxMismatches = 3

// digests sends the own digest to one random peer of the region, and now and
// then to other regions.
func (s *Spreader) digests(now time.Time, peers Peers) []Message {
	targets := peers.Pick(s.self.Region, 1)
	share := s.cfg.CrossDigests / float64(max(peers.Size(s.self.Region), 1))
	for _, p := range s.crossTargets(peers) {
		if s.rng.Float64() < share {
			targets = append(targets, p)
		}
	}
	var messages []Message
	for _, p := range targets {
		messages = append(messages, s.seal(p.GossipAddr, s.digest(false, now), now))
	}
	return messages
}

// digest returns a packet with the own digest and some heartbeats.
func (s *Spreader) digest(answer bool, now time.Time) *wire.SpreadPacket {
	msg := s.header()
	msg.Digest = true
	msg.Answer = answer
	msg.Hash = s.set.hash
	msg.AgeMs = uint32(min(now.Sub(s.changedAt), time.Hour) / time.Millisecond)
	if !answer {
		msg.Heartbeats = s.beats.sample(now)
	}
	return msg
}

// compareDigest answers a digest that differs: with the records above the
// sender's highest revision, or with the own digest if the sender is ahead. A
// difference that lasts is resolved by comparing buckets.
func (s *Spreader) compareDigest(from string, msg *wire.SpreadPacket, now time.Time) []Message {
	if !msg.Digest {
		return nil
	}
	if msg.Hash == s.set.hash {
		s.sync.mismatches = 0
		return nil
	}
	s.sync.mismatches++
	settled := now.Sub(s.changedAt) >= s.cfg.SettleTime && time.Duration(msg.AgeMs)*time.Millisecond >= s.cfg.SettleTime
	if settled || s.sync.mismatches >= maxMismatches {
		s.sync.reconcile(msg.From)
	}
	if s.out.Room(now) <= 0 {
		return nil
	}
	if s.set.held > msg.Held {
		return []Message{s.sendAfter(from, msg.Held, now)}
	}
	if msg.Held > s.set.held && !msg.Answer {
		return []Message{s.seal(from, s.digest(true, now), now)}
	}
	return nil
}

// sendAfter returns one packet with the oldest records above a revision.
func (s *Spreader) sendAfter(to string, rev uint64, now time.Time) Message {
	msg := s.header()
	msg.Held = 0
	s.fill(msg, s.set.after(rev))
	for proto.Size(msg) > s.cfg.MaxPacketBytes {
		msg.Records = msg.Records[:len(msg.Records)-1]
	}
	return s.seal(to, msg, now)
}
