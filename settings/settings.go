// Package settings reads and checks the INI settings file of a node. One run reports
// all faults in the file.
package settings

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Settings are the checked settings of a node.
type Settings struct {
	Node     Node
	Listen   Listen
	Store    Store
	Platform Platform
	Bounds   Bounds
	Admin    Admin
	Backend  Backend
	Limits   Limits
	Log      Log
}

// Node identifies the node and its location.
type Node struct {
	ID            string // unique among the VMs of the fleet
	Region        string
	FailureDomain string
	Service       string // of the backend server on the VM; "" leaves it to the announcement of the backend server
}

// Listen holds the addresses (host:port) that the node listens on.
type Listen struct {
	Outside string // callers outside the fleet, HTTP; empty disables it
	Local   string // the backend server on the same VM, HTTP; empty disables it
	Peer    string // other nodes, yamux over TCP
	// AdvertisePeer is the address that other nodes dial; empty means Peer.
	AdvertisePeer string
	Admin         string // operators, HTTP; empty disables it
}

// Store locates the platform's key-value service.
type Store struct {
	URL     string        // empty disables the store
	Timeout time.Duration // of one call
}

// Platform holds the addresses on which the node serves the protocols of the
// platform. An empty address disables the listener.
type Platform struct {
	Callers string // callers and the backend server on the VM
	Ready   string // readiness checks of the platform
	Backend string // announcements of the backend server
}

// Bounds are limits that the environment of the node imposes.
type Bounds struct {
	// Grace is the time from the request to stop until the process is killed, or 0
	// if it is not killed.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the retries that all nodes together send to one
	// service within RetryWindow: RetryRatio times its requests plus RetrySlack. With
	// a RetryRatio of 0, each node bounds its own retries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Revoke is the time after which a removed API key must no longer be accepted. With
	// RevokeFailClosed, a node that has had no proof for that time that it knows the
	// latest keys refuses the requests that need one; otherwise it goes on with those
	// that it knows.
	Revoke           time.Duration
	RevokeFailClosed bool
	// QuotaWindow, QuotaOver and QuotaSlack bound the requests of a team with a rate over
	// all nodes: (rate x QuotaWindow + burst) x (1 + QuotaOver) + QuotaSlack within any
	// QuotaWindow.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
}

// Admin configures the administration API.
type Admin struct {
	Credentials map[string]string // operator name to bearer token
	Admins      []string          // operators who may change every profile
}

// Backend configures how the node treats the backend server on the same VM.
type Backend struct {
	ShedHeader   string        // a 503 answer with this header proves that the call did not run; empty trusts none
	TrustSlots   bool          // the announced slots bound the calls at the backend server
	TrustPace    bool          // the pace that the backend server reports decides where calls go and how many run
	AnnounceTTL  time.Duration // an announcement lapses unless it is renewed within this time
	DrainTimeout time.Duration // bound on a graceful shutdown
}

// Limits bound the memory that the node uses for one call.
type Limits struct {
	MaxRequestBytes int // larger request bodies are refused
	BodyMemoryBytes int // of all request bodies at a time; 0 for an eighth of the memory limit of the process
	HeadMemoryBytes int // of the heads of all requests at a time; 0 for headbudget.DefaultMemory
	Descriptors     int // that the node may open; 0 for the limit of the process
	BufferBytes     int // an answer up to this size is buffered until it is complete
}

// Log configures the log.
type Log struct {
	Path   string // empty writes to standard output
	Level  string // debug, info, warn or error
	Sample int    // one of this many successful chains is logged
	Buffer int    // lines buffered while the output is slow; further ones are dropped and counted
}

// defaultRevoke is Bounds.Revoke if the settings file sets none, or an empty one.
const defaultRevoke = 5 * time.Second

// Load reads and checks the settings file at path. The error has kind errs.Invalid and
// lists all faults.
func Load(path string) (*Settings, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "correct the INI syntax or the path", "settings file %q cannot be read", path)
	}
	s := &Settings{}
	faults := applyFields(s, f)
	if s.Bounds.Revoke == 0 {
		s.Bounds.Revoke = defaultRevoke
	}
	if len(faults) > 0 {
		return nil, errs.New(errs.Invalid, "", // each fault already ends with its remedy
			"settings file %q has %d faults:\n  %s", path, len(faults), strings.Join(faults, "\n  "))
	}
	return s, nil
}

// applyFields sets all fields of s from f and returns the faults that it finds.
func applyFields(s *Settings, f *ini.File) []string {
	known := map[string]map[string]bool{}
	var faults []string
	for _, fd := range fields(s) {
		if known[fd.section] == nil {
			known[fd.section] = map[string]bool{}
		}
		known[fd.section][fd.key] = true
		if fault := fd.apply(f); fault != "" {
			faults = append(faults, fault)
		}
	}
	return append(faults, unknownKeys(f, known)...)
}

func unknownKeys(f *ini.File, known map[string]map[string]bool) []string {
	var faults []string
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		keys, ok := known[sec.Name()]
		if !ok {
			faults = append(faults, fmt.Sprintf("[%s]: unknown section; remove it or correct its name", sec.Name()))
			continue
		}
		for _, k := range sec.Keys() {
			if !keys[k.Name()] {
				faults = append(faults, fmt.Sprintf("[%s] %s = %q: unknown key; remove it or correct its name", sec.Name(), k.Name(), k.Value()))
			}
		}
	}
	return faults
}

func checkURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fmt.Errorf("is not an http URL; write it as http://10.0.0.1:6999")
	}
	return nil
}
