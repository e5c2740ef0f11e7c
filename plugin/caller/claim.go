package caller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/execution"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/target"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	claimTimeout   = 500 * time.Millisecond
	releaseTimeout = time.Second
)

// claim is an idempotency key claimed at one holder.
type claim struct {
	addr    string
	release *wire.Release
}

// claimKey claims the idempotency key of a request that must run at most once. It
// returns nil when every holder grants the key and at least one proves that it was
// not claimed before, otherwise the final answer.
func (r *request) claimKey(ctx context.Context) *kernel.Answer {
	if r.IdempotencyKey == "" || r.Chain.Idempotent {
		return nil
	}
	addrs := r.svc.memberAddrs(r.caller.k.Fleet)
	nodes := slices.Collect(maps.Keys(addrs))
	holders := execution.Holders(target.HolderKey(r.Service, r.IdempotencyKey), nodes, target.ClaimHolders)
	proved := len(holders) == 0 // without members, no node can run the request either
	for _, reply := range r.claimAtHolders(ctx, holders, addrs) {
		if !reply.GetGranted() {
			return r.claimDenied(call.Reason(reply.GetReason()))
		}
		proved = proved || reply.GetProved()
	}
	if !proved {
		return r.claimDenied(call.ReasonKeyUnproved)
	}
	return nil
}

// claimAtHolders sends the claim to all holders in parallel. A holder that does not
// answer counts as a denial: it may be on the other side of a network partition and
// grant the key to other callers there.
func (r *request) claimAtHolders(ctx context.Context, holders []string, addrs map[string]string) []*wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	submission := uuid.New()
	minted, _ := execution.MintedAt(r.IdempotencyKey)
	replies := make([]*wire.ClaimReply, len(holders))
	var g errgroup.Group
	for i, id := range holders {
		r.claims = append(r.claims, claim{addr: addrs[id], release: &wire.Release{Service: r.Service, Key: r.IdempotencyKey, SubmissionId: submission[:]}})
		c := &wire.Claim{Service: r.Service, Key: r.IdempotencyKey, SubmissionId: submission[:]}
		if !minted.IsZero() {
			c.MintedUnixMs = minted.UnixMilli()
		}
		g.Go(func() error {
			replies[i] = claimAtHolder(ctx, r.caller.k.Transport, addrs[id], c)
			return nil
		})
	}
	_ = g.Wait()
	return replies
}

// claimAtHolder sends the claim to one holder. If the connection breaks during the
// exchange, the state of the holder is not known, so the claim is sent once more
// over a new connection. That is safe, because the repeated claim has the same
// submission id.
func claimAtHolder(ctx context.Context, transport kernel.Transport, addr string, c *wire.Claim) *wire.ClaimReply {
	reply, err := transport.Claim(ctx, addr, c)
	if errs.KindOf(err) == errs.Unknown && ctx.Err() == nil {
		reply, err = transport.Claim(ctx, addr, c)
	}
	if err != nil {
		return replyForError(err)
	}
	return reply
}

// replyForError returns the reply to assume for a holder that did not answer. A
// refused connection shows that the VM is reachable and that the process has ended.
// That process can no longer grant the key to anyone, so the proof of the other
// holder is enough.
func replyForError(err error) *wire.ClaimReply {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &wire.ClaimReply{Granted: true}
	}
	return &wire.ClaimReply{Reason: string(call.ReasonKeyUnproved)}
}

// claimDenied returns the answer for a request whose key was not granted. Its
// outcome is unknown: if another submission holds the key, that one may have run; if
// the key could not be proved unused, an earlier submission may have run.
func (r *request) claimDenied(reason call.Reason) *kernel.Answer {
	r.caller.log.Info("claim_denied", zap.String("service", r.Service), zap.String("chain", r.Chain.ID.String()), zap.String("reason", string(reason)))
	r.releaseClaims()
	return &kernel.Answer{Result: call.Result{Outcome: call.Unknown, Reason: reason}}
}

// releaseClaims releases the key at its holders. It is called only once it is
// certain that this submission did not run.
func (r *request) releaseClaims() {
	claims := r.claims
	r.claims = nil
	for _, cl := range claims {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			if err := r.caller.k.Transport.Release(ctx, cl.addr, cl.release); err != nil {
				r.caller.log.Debug("release_failed", zap.String("addr", cl.addr), zap.Error(err))
			}
		}()
	}
}
