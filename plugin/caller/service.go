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

// maxRemoteCallsPerSecond limits the calls of this node to a service that has no
// member in its region. It is above the normal rate of a node and only stops
// runaway traffic.
const maxRemoteCallsPerSecond = 2000

// service is the routing state towards one service. mu is held for microseconds and
// never across I/O.
type service struct {
	name string
	log  *zap.Logger

	mu           sync.Mutex
	router       *routing.Router
	budget       *retry.Budget
	retryConfig  retry.Config
	bounds       settings.Bounds // limits of the whole fleet; with a RetryRatio of 0 each node keeps its own retry budget
	rng          *rand.Rand
	fleetVersion uint64 // version of the membership that the router has
	members      []membership.Member
}

func newService(name string, k *kernel.Kernel) *service {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	cfg := routing.DefaultConfig()
	cfg.Region = k.Settings.Node.Region
	cfg.Domain = k.Settings.Node.FailureDomain
	cfg.RemotePerSecond = maxRemoteCallsPerSecond
	cfg.RemoteBurst = maxRemoteCallsPerSecond
	s := &service{name: name, log: k.Log, router: routing.New(cfg, rng), bounds: k.Settings.Bounds, retryConfig: retry.DefaultConfig(), rng: rng}
	if s.hasFleetBudget() {
		s.budget = retry.NewFleetBudget(s.budgetShare(k.Fleet))
		s.retryConfig.FreeRefusals = true
	} else {
		s.budget = retry.NewBudget(retry.DefaultBudgetConfig())
	}
	return s
}

// hasFleetBudget reports whether all nodes share one limit on retries.
func (s *service) hasFleetBudget() bool { return s.bounds.RetryRatio > 0 }

// budgetShare returns this node's share of the fleet-wide retry limit.
func (s *service) budgetShare(fleet kernel.Fleet) retry.BudgetConfig {
	return retry.FleetBudgetConfig(s.bounds.RetryRatio, s.bounds.RetrySlack, s.bounds.RetryWindow, len(fleet.All()))
}

// refreshMembers passes a changed membership to the router. The caller must hold mu.
func (s *service) refreshMembers(fleet kernel.Fleet, now time.Time) {
	version := fleet.Version()
	if version == s.fleetVersion && s.members != nil {
		return
	}
	s.fleetVersion = version
	s.members = fleet.Members(s.name)
	list := make([]routing.Member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, routing.Member{
			Node: m.ID, Addr: m.Addr, Region: m.Region, Domain: m.Domain,
			Suspect: m.State == membership.Lapsed, Incarnation: m.Revision,
		})
	}
	s.router.Update(list, now)
	if s.hasFleetBudget() {
		s.budget.Resize(s.budgetShare(fleet))
	}
}

// pick chooses the target of the next attempt and counts the attempt as started.
func (s *service) pick(fleet kernel.Fleet, q routing.Query) (routing.Choice, routing.Refusal) {
	now := time.Now()
	s.mu.Lock()
	s.refreshMembers(fleet, now)
	choice, refusal := s.router.Pick(q, now)
	if refusal.Reason == call.ReasonNone {
		s.router.Start(choice.Member.Node, now)
	}
	changes := s.router.TakeChanges()
	s.mu.Unlock()
	s.logChanges(changes)
	return choice, refusal
}

// logChanges logs which members were ejected or readmitted.
func (s *service) logChanges(changes []routing.EjectionChange) {
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

// recordResult reports the result of an attempt to the router and the retry budget.
func (s *service) recordResult(node string, p call.Priority, res call.Result) {
	now := time.Now()
	s.mu.Lock()
	s.router.Finish(node, res, now)
	s.router.Record(p, res, now)
	if res.Outcome == call.Answered && !s.hasFleetBudget() {
		s.budget.Deposit(now)
	}
	changes := s.router.TakeChanges()
	s.mu.Unlock()
	s.logChanges(changes)
}

// recordFirstAttempt updates the fleet-wide retry budget for the first attempt of a
// request. A request of a client adds to the budget; a call of a backend server does
// not, also if the execution that made it is no longer known. A sub-call of a repeated
// request counts as a retry and is charged to the budget.
func (s *service) recordFirstAttempt(req *kernel.Request) {
	if !s.hasFleetBudget() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.FromClient {
		s.budget.Deposit(now)
	}
	if req.Chain.Repeat {
		s.budget.Debit(now)
	}
}

// decideRetry decides whether to send the request again.
func (s *service) decideRetry(res call.Result, c retry.Call, attempt int, left, expected time.Duration, share *retry.Share) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return retry.Decide(s.retryConfig, res, c, attempt, left, expected, share, s.budget, s.rng, time.Now())
}

// spendRetry spends one retry of the share and of the budget of the service. It
// reports false if either has none left.
func (s *service) spendRetry(c retry.Call, share *retry.Share) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return share.TakeWithBudget(c, s.budget, time.Now())
}

// memberAddrs returns the addresses of the members of the service by node id.
func (s *service) memberAddrs(fleet kernel.Fleet) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshMembers(fleet, time.Now())
	addrs := make(map[string]string, len(s.members))
	for _, m := range s.members {
		addrs[m.ID] = m.Addr
	}
	return addrs
}
