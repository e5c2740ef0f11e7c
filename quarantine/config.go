package quarantine

import "time"

// Config holds the settings of a Table. Start from DefaultConfig.
type Config struct {
	// CrashLimit is the number of crashes after which a request is quarantined. The last
	// of them must be that of a run which had begun when the request was suspect.
	// A lower value spares servers, and quarantines requests that happened to run at
	// servers which crashed for another reason.
	CrashLimit int

	// PermitTTL is how long a permit holds if its holder does not return it. A shorter
	// one lets a request that runs longer run twice at the same time.
	PermitTTL time.Duration

	// ReportDelay is the time after a crash within which all nodes know of it. A run
	// without a permit that began later counts as one of a suspect.
	ReportDelay time.Duration

	// SameMoment is the time between the crashes of two servers up to which they are
	// taken to have the same reason. A longer one protects requests from slower failures
	// of several servers, and lets requests that crash servers excuse each other.
	SameMoment time.Duration

	// RecoveryDelay is how long a request whose next crash would quarantine it does not
	// run after a crash, so that the servers that it has crashed are back before the
	// next one may be lost.
	RecoveryDelay time.Duration

	// RetrialDelay is the time after which a quarantined request may run once, under a
	// permit. If that crashes a backend server, the next delay is twice as long, up to
	// MaxRetrialDelay. Shorter delays bring a request back earlier that was quarantined
	// because of servers that crashed for another reason, and cost a server more often
	// if it was not.
	RetrialDelay, MaxRetrialDelay time.Duration

	// SuspectTTL is how long crashes count against a request that does not come again.
	SuspectTTL time.Duration

	// MaxSuspects and MaxQuarantined bound the memory, in requests. Each crash adds as
	// many suspects as calls were running.
	MaxSuspects, MaxQuarantined int
}

// DefaultConfig returns settings for backend servers that start again within about two
// seconds.
func DefaultConfig() Config {
	return Config{
		CrashLimit:      3,
		PermitTTL:       10 * time.Second,
		SameMoment:      100 * time.Millisecond,
		ReportDelay:     time.Second,
		RecoveryDelay:   3 * time.Second,
		RetrialDelay:    10 * time.Minute,
		MaxRetrialDelay: 24 * time.Hour,
		SuspectTTL:      10 * time.Minute,
		MaxSuspects:     8192,
		MaxQuarantined:  1024,
	}
}
