package caller

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/routing"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// remoteCallsPerSecond bounds the calls of this node to one service that has no
// member in the region. It lies above the rate of a node, so that it holds back
// only a runaway.
const remoteCallsPerSecond = 2000

// service is the routing state towards one service. mu is held for
// microseconds and never across I/O.
type service struct {
	name string
	log  *zap.Logger

	mu      sync.Mutex
	router  *routing.Router
	budget  *retry.Budget
	retries retry.Config
	bounds  settings.Bounds // of the whole fleet; a RetryRatio of 0 leaves them to this node
	rng     *rand.Rand
	seen    uint64 // version of the fleet that the router knows
	members []membership.Member
}

func newService(name string, k *kernel.Kernel) *service {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	cfg := routing.DefaultConfig()
	cfg.Region = k.Settings.Node.Region
	cfg.Domain = k.Settings.Node.FailureDomain
	cfg.RemotePerSecond = remoteCallsPerSecond
	cfg.RemoteBurst = remoteCallsPerSecond
	s := &service{name: name, log: k.Log, router: routing.New(cfg, rng), bounds: k.Settings.Bounds, retries: retry.DefaultConfig(), rng: rng}
	if s.shared() {
		s.budget = retry.NewFleetBudget(s.share(k.Fleet))
		s.retries.FreeRefusals = true
	} else {
		s.budget = retry.NewBudget(retry.DefaultBudgetConfig())
	}
	return s
}

// shared reports whether all nodes hold the bound on retries together.
func (s *service) shared() bool { return s.bounds.RetryRatio > 0 }

// share returns this node's part of the bound on retries.
func (s *service) share(fleet kernel.Fleet) retry.BudgetConfig {
	return retry.FleetBudgetConfig(s.bounds.RetryRatio, s.bounds.RetrySlack, s.bounds.RetryWindow, len(fleet.All()))
}

// refresh passes a changed membership to the router. The caller holds mu.
func (s *service) refresh(fleet kernel.Fleet, now time.Time) {
	version := fleet.Version()
	if version == s.seen && s.members != nil {
		return
	}
	s.seen = version
	s.members = fleet.Members(s.name)
	list := make([]routing.Member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, routing.Member{
			Node: m.ID, Addr: m.Addr, Region: m.Region, Domain: m.Domain,
			Suspect: m.State == membership.Lapsed, Incarnation: m.Revision,
		})
	}
	s.router.Update(list, now)
	if s.shared() {
		s.budget.Resize(s.share(fleet))
	}
}

// pick chooses the target of the next attempt and counts it in.
func (s *service) pick(fleet kernel.Fleet, q routing.Query) (routing.Choice, routing.Refusal) {
	now := time.Now()
	s.mu.Lock()
	s.refresh(fleet, now)
	choice, refusal := s.router.Pick(q, now)
	if refusal.Reason == call.ReasonNone {
		s.router.Start(choice.Member.Node, now)
	}
	changes := s.router.TakeChanges()
	s.mu.Unlock()
	s.tell(changes)
	return choice, refusal
}

// tell logs which members get no calls for a while, and which do again.
func (s *service) tell(changes []routing.EjectionChange) {
	for _, c := range changes {
		switch {
		case c.Ejected:
			s.log.Info("member_ejected", zap.String("service", s.name), zap.String("member", c.Node), zap.Float64("bad_rate", c.FailureRate), zap.Time("probe_at", c.Until))
		case c.OthersFailAlike:
			s.log.Info("member_readmitted", zap.String("service", s.name), zap.String("member", c.Node), zap.String("reason", "others_fail_alike"), zap.Float64("bad_rate", c.FailureRate))
		default:
			s.log.Info("member_readmitted", zap.String("service", s.name), zap.String("member", c.Node), zap.String("reason", "works"))
		}
	}
}

// finish tells the router how an attempt ended.
func (s *service) finish(node string, p call.Priority, res call.Result) {
	now := time.Now()
	s.mu.Lock()
	s.router.Finish(node, res, now)
	s.router.Record(p, res, now)
	if res.Outcome == call.Answered && !s.shared() {
		s.budget.Deposit(now)
	}
	changes := s.router.TakeChanges()
	s.mu.Unlock()
	s.tell(changes)
}

// sent counts the first attempt of a request: one of a caller pays for retries
// where all nodes hold the bound together, and one below a repeated request is a
// retry itself.
func (s *service) sent(chain *call.Chain) {
	if !s.shared() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if chain.Depth == 0 {
		s.budget.Deposit(now)
	}
	if chain.Repeat {
		s.budget.Debit(now)
	}
}

// decide asks whether to send the request again.
func (s *service) decide(res call.Result, idempotent bool, attempt int, left, expected time.Duration, share *retry.Share) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return retry.Decide(s.retries, res, idempotent, attempt, left, expected, share, s.budget, s.rng, time.Now())
}

// takeRetry spends one retry of the share and of the service's budget.
func (s *service) takeRetry(share *retry.Share) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return share.TakeBoth(s.budget, time.Now())
}

// memberIDs returns the nodes that announced the service.
func (s *service) memberIDs(fleet kernel.Fleet) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(fleet, time.Now())
	ids := make(map[string]string, len(s.members))
	for _, m := range s.members {
		ids[m.ID] = m.Addr
	}
	return ids
}
