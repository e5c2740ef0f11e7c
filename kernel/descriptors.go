package kernel

import (
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/settings"
	"github.com/dogwoodhatch/dogwoodhatch/sysmem"
)

const (
	// callersFraction is the part of the descriptors, as its divisor, that the connections of all
	// listeners for callers may take. The others are for the store, other nodes and the backend
	// server.
	callersFraction = 2
	// controlFraction is the part of the descriptors, as its divisor, that the connections of each
	// listener for others than callers may take, and minControlConns their number at least.
	controlFraction = 32
	minControlConns = 8
	// strangersFraction is the part, as its divisor, of the connections at the listener for nodes
	// on which no call has arrived yet. Many nodes dial a node that has just started.
	strangersFraction = 16
	// defaultDescriptors is the number of descriptors if the limit of the process is not known.
	defaultDescriptors = 1024
)

// CallerConns returns the number of connections that each listener for callers may have.
func (k *Kernel) CallerConns() int {
	listeners := 0
	for _, addr := range []string{k.Settings.Platform.Callers, k.Settings.Listen.Outside, k.Settings.Listen.Local} {
		if addr != "" {
			listeners++
		}
	}
	return max(k.descriptors/callersFraction/max(listeners, 1), 1)
}

// ControlConns returns the number of connections that each listener for others than callers and
// nodes may have.
func (k *Kernel) ControlConns() int { return max(k.descriptors/controlFraction, minControlConns) }

// StrangerConns returns the number of connections of other nodes that may not have carried a call
// yet.
func (k *Kernel) StrangerConns() int { return max(k.descriptors/strangersFraction, minControlConns) }

// descriptors returns the number of descriptors that the node may open.
func descriptors(s *settings.Settings, log *zap.Logger) int {
	limit, err := sysmem.Descriptors()
	if err != nil {
		log.Warn("descriptor_limit_unknown", zap.Int("used", defaultDescriptors), zap.Error(err))
		limit = defaultDescriptors
	}
	if s.Limits.Descriptors > 0 {
		return min(limit, s.Limits.Descriptors)
	}
	return limit
}
