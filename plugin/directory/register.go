package directory

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// bareDelay is how long a node without a backend server waits before it writes
// its record: one written twice within a second of the start costs a call.
const bareDelay = 2 * time.Second

// Announce implements kernel.Fleet.
func (d *directory) Announce(service string, slots int) {
	d.k.Control.Go(func() {
		d.self.Service = service
		d.self.Slots = slots
		d.registration.Want(d.self.Encode())
		d.wake()
	})
}

// RecordEnd implements kernel.Fleet.
func (d *directory) RecordEnd(ctx context.Context, start membership.Start) error {
	if d.store == nil {
		return nil
	}
	recorded := make(chan struct{})
	d.k.Control.Go(func() {
		d.self.Ended = start
		d.registration.Want(d.self.Encode())
		d.recorded = append(d.recorded, recorded)
		d.settle()
		d.wake()
	})
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settle tells those who wait for the own record that the store holds it; it runs
// on the control goroutine.
func (d *directory) settle() {
	if !d.registration.Registered() {
		return
	}
	for _, c := range d.recorded {
		close(c)
	}
	d.recorded = nil
}

// inherit takes from the record of this node's former process which start of the
// backend server has ended; it runs on the control goroutine.
func (d *directory) inherit(m *membership.Member) {
	if m.ID == d.self.ID || m.Ended.Instance == "" || d.self.Ended.Instance != "" {
		return
	}
	d.self.Ended = m.Ended
	go d.k.Target.BackendDeparted(d.ctx, m.Ended)
}

// inheritFrom reads the former process's record as the store holds it.
func (d *directory) inheritFrom(e store.Entry) {
	m, err := membership.Decode(e.Key, e.Value, e.Revision)
	if err != nil {
		d.log.Warn("member_rejected", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Error(err))
		return
	}
	d.inherit(&m)
}

// Leave implements kernel.Fleet.
func (d *directory) Leave() { d.Announce("", 0) }

// wake lets the registration look for the next step.
func (d *directory) wake() {
	select {
	case d.announced <- struct{}{}:
	default: // it is awake already
	}
}

// register keeps the node's own record in the store.
func (d *directory) register() {
	bare := time.AfterFunc(bareDelay, func() {
		d.k.Control.Go(func() {
			d.registration.Want(d.self.Encode())
			d.wake()
		})
	})
	defer bare.Stop()
	for d.ctx.Err() == nil {
		var step membership.Step
		var wait time.Duration
		if !d.k.Control.Do(func() { step, wait = d.registration.Next(time.Now()) }) {
			return
		}
		if step != membership.Wait {
			d.take(step)
			continue
		}
		select {
		case <-d.announced:
		case <-time.After(wait):
		case <-d.ctx.Done():
		}
	}
}

// take makes the call of one step and records how it ended.
func (d *directory) take(step membership.Step) {
	d.calls.Inc(1)
	r := d.registration
	var lease string
	var record []byte
	var expect uint64
	d.k.Control.Do(func() { lease, record, expect = r.Lease() })
	sent := time.Now()
	var err error
	var done func(now time.Time)
	switch step {
	case membership.Grant:
		var granted string
		granted, err = d.store.Grant(d.ctx, membership.DefaultRegistrationConfig().TTL)
		done = func(now time.Time) { r.Granted(granted, err, sent, now) }
	case membership.Write:
		var revision uint64
		revision, err = d.store.CompareAndSwap(d.ctx, d.ownKey(), record, expect, lease)
		done = func(now time.Time) { r.Wrote(record, revision, err, now) }
	case membership.Read:
		e, readErr := d.store.Get(d.ctx, d.ownKey())
		err = readErr
		done = func(now time.Time) {
			r.Looked(e.Revision, err, now)
			if err == nil {
				d.inheritFrom(e)
			}
		}
	case membership.Renew:
		err = d.store.Renew(d.ctx, lease)
		done = func(now time.Time) { r.Renewed(err, sent, now) }
	}
	d.k.Control.Do(func() {
		before := r.Registered()
		failing := r.Failing()
		done(time.Now())
		d.settle()
		d.logRegistration(before, failing, err)
	})
}

// logRegistration logs when the record is in the store, no longer is, and when
// the store is lost or back; it runs on the control goroutine.
func (d *directory) logRegistration(before, failing bool, err error) {
	r := d.registration
	if r.Registered() != before {
		d.log.Info("registration", zap.Bool("registered", r.Registered()), zap.String("service", d.self.Service), zap.Error(err))
	}
	if r.Failing() != failing {
		d.log.Warn("store", zap.Bool("reached", !r.Failing()), zap.Error(err))
	}
	if r.Failing() {
		d.failures.Inc(1)
	}
}
