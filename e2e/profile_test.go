package e2e

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/platform/kv"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// testProfile has an idempotent class (lookup) and a class that must run at most
// once (purchase).
const testProfile = `
[class lookup]
paths = /lookup/*
methods = GET
priority = normal
deadline = 3s
retries = 4
idempotent = true

[class purchase]
paths = /buy/*
methods = POST
priority = critical
deadline = 3s
retries = 4
idempotent = false
`

// publish writes the profile to the store and binds the services to it, as the
// operators' tools do.
func (f *fleet) publish(text string, services ...string) {
	f.t.Helper()
	revision := f.putRecord(profile.KindProfile, "test", profile.Record{Body: text})
	for _, s := range services {
		f.putRecord(profile.KindService, s, profile.Record{Profile: "test", Needs: revision})
	}
}

// putRecord writes a record to the store, replacing any that exists, and returns its
// revision.
func (f *fleet) putRecord(kind profile.Kind, name string, r profile.Record) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	client := kv.NewClient(f.storeURL, kv.DefaultOptions())
	defer client.Close()
	r.Kind = kind
	r.Name = name
	r.Change = profile.Change{ID: uuid.New(), Author: "test", Time: time.Now()}
	value, err := r.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	var expect uint64
	if e, err := client.Get(ctx, kind.Key(name)); err == nil {
		expect = e.Revision
	}
	revision, err := client.CompareAndSwap(ctx, kind.Key(name), value, expect, "")
	if err != nil {
		f.t.Fatal(err)
	}
	return revision
}

// awaitProfile waits until a profile is in force for the service at the node.
func (n *node) awaitProfile(service string) {
	n.fleet.t.Helper()
	waitFor(n.fleet.t, "profile of "+service+" at "+n.name, func() bool { return n.hasLogLine("event=profile_in_force ", "service="+service+" ") })
}

func TestProfileParses(t *testing.T) {
	if _, err := profile.Parse("test", []byte(testProfile)); err != nil {
		t.Fatal(err)
	}
}

// TestStoreOutageKeepsProfilesInForce checks that published profiles stay in force
// during a store outage, and that changes arrive after it.
func TestStoreOutageKeepsProfilesInForce(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "1ms")
	p.setStoreFaults(`{"down":true}`)
	time.Sleep(time.Second)
	if r := p.entry.call("rates", callOptions{path: "/lookup/x", id: "during"}); !succeeded(r) {
		t.Errorf("during the outage: %v", r)
	}
	if !p.entry.hasLogLine("event=route ", "class=lookup") {
		t.Error("the class of the published profile was not in force")
	}
	p.setStoreFaults(`{}`)
	p.publish(strings.ReplaceAll(testProfile, "class lookup", "class search"), "rates")
	waitFor(t, "profile published after the outage", func() bool {
		p.entry.call("rates", callOptions{path: "/lookup/x", id: "after"})
		return p.entry.hasLogLine("event=route ", "class=search")
	})
}
