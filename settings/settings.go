// Package settings reads the INI settings of a node and checks them as a
// whole, so that one run reports every fault.
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

// Node names the node and its place.
type Node struct {
	ID            string // unique among the VMs of the fleet
	Region        string
	FailureDomain string
	Service       string // of the backend server on the VM; "" if only its announcement tells
}

// Listen holds the addresses (host:port) that the node serves.
type Listen struct {
	Outside string // callers outside the fleet, HTTP; empty serves none
	Local   string // the backend server beside the node, HTTP; empty serves none
	Peer    string // other nodes, yamux over TCP
	// AdvertisePeer is the address that other nodes dial; empty means Peer.
	AdvertisePeer string
	Admin         string // operators, HTTP; empty serves none
}

// Store locates the platform's key-value service.
type Store struct {
	URL     string        // empty runs without the store
	Timeout time.Duration // of one call
}

// Platform holds the addresses that the node serves in the platform's own form.
// Empty addresses serve nothing.
type Platform struct {
	Callers string // callers and the backend server on the VM
	Ready   string // the platform's question whether the node takes work
	Backend string // announcements of the backend server
}

// Bounds are limits that the place where the node runs sets.
type Bounds struct {
	// Grace is the time from the request to stop until the process is killed; 0
	// if nothing kills it.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the repeated requests that all nodes
	// together send to one service within RetryWindow: RetryRatio of its requests
	// plus RetrySlack. A RetryRatio of 0 leaves the bound to each node.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Admin configures the administration API.
type Admin struct {
	Credentials map[string]string // operator name to bearer token
	Admins      []string          // operators who may change every profile
}

// Backend describes the backend server beside the node.
type Backend struct {
	ShedHeader   string        // a 503 answer with this header proves that the call did not run; empty trusts none
	TrustSlots   bool          // the announced slots bound the calls at the backend server
	AnnounceTTL  time.Duration // an announcement lapses when it is not renewed for this long
	DrainTimeout time.Duration // bound on a graceful shutdown
}

// Limits bound what the node holds for one call.
type Limits struct {
	MaxRequestBytes int // larger request bodies are refused
	BufferBytes     int // an answer up to this size is held until it is whole
}

// Log configures the log.
type Log struct {
	Path   string // empty writes to standard output
	Level  string // debug, info, warn or error
	Sample int    // one of so many chains that went well is logged
	Buffer int    // lines held while the output is slow; more are dropped and counted
}

// Load reads and checks the settings file at path. The error lists all faults.
func Load(path string) (*Settings, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "correct the INI syntax or the path", "settings file %q cannot be read", path)
	}
	s := &Settings{}
	faults := apply(s, f)
	if len(faults) > 0 {
		return nil, errs.New(errs.Invalid, "", // each fault names its remedy
			"settings file %q has %d faults:\n  %s", path, len(faults), strings.Join(faults, "\n  "))
	}
	return s, nil
}

// apply sets every field of s from f and returns the faults found.
func apply(s *Settings, f *ini.File) []string {
	known := map[string]map[string]bool{}
	var faults []string
	for _, fd := range fields(s) {
		if known[fd.section] == nil {
			known[fd.section] = map[string]bool{}
		}
		known[fd.section][fd.key] = true
		if fault := fd.read(f); fault != "" {
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
		return fmt.Errorf("is no URL; write it as http://10.0.0.1:6999")
	}
	return nil
}
