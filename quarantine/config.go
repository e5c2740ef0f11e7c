package quarantine

import "time"

// Config holds the settings of a Table. Start from DefaultConfig.
type Config struct {
	// CrashLimit is the number of distinct starts of backend servers after whose crash
	// a request is quarantined. A lower value spares servers, and quarantines requests
	// that happened to run at servers which crashed for another reason.
	CrashLimit int

	// PermitTTL is how long a permit holds if its holder does not return it. A shorter
	// one lets a request that runs longer run twice at the same time.
	PermitTTL time.Duration

	// RecoveryDelay is how long a request whose next crash would quarantine it does not
	// run after a crash, so that the servers that it has crashed are back before the
	// next one may be lost.
	RecoveryDelay time.Duration

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
		CrashLimit:     3,
		PermitTTL:      10 * time.Second,
		RecoveryDelay:  3 * time.Second,
		SuspectTTL:     10 * time.Minute,
		MaxSuspects:    8192,
		MaxQuarantined: 1024,
	}
}
