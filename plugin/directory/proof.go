package directory

import (
	"math"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// A proof is a time at which the table held every change that the store had acknowledged.
// The answer of the store to a read proves it for the time at which the read began, and
// the reply of a node for that of the proof which that node has. Times are those at which
// a request was sent, because an answer may lie unread while the process is stopped.

const (
	// neverProved is the value of provedAt before the first proof.
	neverProved = math.MinInt64

	// proofSyncInterval is the mean time between two state comparisons with other nodes
	// while a proof is needed.
	proofSyncInterval = syncInterval / 2
)

// ProofAge implements kernel.Replica.
func (d *directory) ProofAge() time.Duration {
	at := d.provedAt.Load()
	if at == neverProved {
		return math.MaxInt64
	}
	return time.Duration(d.clock() - at)
}

// prove records a proof for the given time.
func (d *directory) prove(at int64) {
	for {
		old := d.provedAt.Load()
		if at <= old || d.provedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// proveIfApplied records a proof that holds for a revision, unless the table has not
// reached that revision.
func (d *directory) proveIfApplied(at int64, revision uint64) {
	if d.revision.Load() >= revision {
		d.prove(at)
	}
}

// needsProof reports whether this node must soon refuse requests unless it gets a proof,
// or has begun to. After twice the bound it no longer asks more often than usual: the
// store then answers nobody, and the messages would cost bytes between regions in vain.
func (d *directory) needsProof() bool {
	b := &d.k.Settings.Bounds
	if !b.RevokeFailClosed {
		return false
	}
	age := d.ProofAge()
	return age > b.Revoke/2 && age < 2*b.Revoke
}

// nextSync returns the mean time until the next state comparison.
func (d *directory) nextSync() time.Duration {
	if d.needsProof() {
		return proofSyncInterval
	}
	return syncInterval
}

// encodeProof returns the age of the proof as sent in a StateReply. Without a setting that
// needs it, it is not sent.
func (d *directory) encodeProof() uint32 {
	if !d.k.Settings.Bounds.RevokeFailClosed {
		return 0
	}
	age := d.ProofAge()
	if age > maxSentProofAge {
		return 0
	}
	return uint32(max(age, 0).Milliseconds()) + 2 // rounded up, plus 1
}

// maxSentProofAge bounds the age of a proof that is sent; an older one proves nothing that
// matters, and would not fit into the field.
const maxSentProofAge = time.Hour

// decodeProof returns the proof in a reply to a request that was sent at the given time.
func decodeProof(r *wire.StateReply, asked int64) (int64, bool) {
	if r.GetProofAgeMsPlus_1() == 0 {
		return 0, false
	}
	return asked - int64(time.Duration(r.GetProofAgeMsPlus_1()-1)*time.Millisecond), true
}
