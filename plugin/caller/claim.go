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

// claim is an idempotency key recorded at one holder.
type claim struct {
	addr    string
	release *wire.Release
}

// claim records the idempotency key of a request that must run at most once.
// It returns the final answer when the key is not granted by every holder, nil
// otherwise.
func (r *request) claim(ctx context.Context) *kernel.Answer {
	if r.IdempotencyKey == "" || r.Chain.Idempotent {
		return nil
	}
	members := r.s.memberIDs(r.c.k.Fleet)
	names := slices.Collect(maps.Keys(members))
	holders := execution.Holders(target.HolderKey(r.Service, r.IdempotencyKey), names, target.ClaimHolders)
	proved := len(holders) == 0 // there is nobody to run it either
	for _, reply := range r.askHolders(ctx, holders, members) {
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

// askHolders asks all holders at once. A holder that does not answer denies,
// since it may be beyond a cut and grant the key to others there.
func (r *request) askHolders(ctx context.Context, holders []string, addrs map[string]string) []*wire.ClaimReply {
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
			replies[i] = askHolder(ctx, r.c.k.Transport, addrs[id], c)
			return nil
		})
	}
	_ = g.Wait()
	return replies
}

// askHolder asks one holder. A connection that broke with the request on it says
// nothing of the holder, so it is asked again over a new one; the claim is the same.
func askHolder(ctx context.Context, transport kernel.Transport, addr string, c *wire.Claim) *wire.ClaimReply {
	reply, err := transport.Claim(ctx, addr, c)
	if errs.KindOf(err) == errs.Unknown && ctx.Err() == nil {
		reply, err = transport.Claim(ctx, addr, c)
	}
	if err != nil {
		return unanswered(err)
	}
	return reply
}

// unanswered is the reply of a holder that did not answer. A refused connection
// shows that the VM is reached and the process has ended: it grants nothing to
// anybody any more, so the proof of the other holder suffices.
func unanswered(err error) *wire.ClaimReply {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &wire.ClaimReply{Granted: true}
	}
	return &wire.ClaimReply{Reason: string(call.ReasonKeyUnproved)}
}

// claimDenied ends a request whose key was not granted. A key that another
// submission holds may have run; one that could not be proved has not run for
// this submission, but may have for an earlier one.
func (r *request) claimDenied(reason call.Reason) *kernel.Answer {
	r.c.log.Info("claim_denied", zap.String("service", r.Service), zap.String("chain", r.Chain.ID.String()), zap.String("reason", string(reason)))
	r.releaseClaims()
	return &kernel.Answer{Result: call.Result{Outcome: call.Unknown, Reason: reason}}
}

// releaseClaims gives the key back after proof that this submission ran nowhere.
func (r *request) releaseClaims() {
	claims := r.claims
	r.claims = nil
	for _, cl := range claims {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			if err := r.c.k.Transport.Release(ctx, cl.addr, cl.release); err != nil {
				r.c.log.Debug("release_failed", zap.String("addr", cl.addr), zap.Error(err))
			}
		}()
	}
}
