package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
)

// noBackendDelay is how long a node waits for its backend server to be announced
// before it writes a record without a service. Writing the record first without and
// then with a service would cost an additional call to the store.
const noBackendDelay = 4 * time.Second

// Announce implements kernel.Fleet.
func (d *directory) Announce(service string, slots int) {
	d.k.Control.Go(func() {
		if d.self.Service != service {
			d.registration.Rewrite()
		}
		d.self.Service = service
		d.self.Slots = slots
		d.registration.SetRecord(d.self.Encode())
		d.wakeRegistration()
	})
}

// notifyRecorded wakes the waiters of RecordEnd if the store holds the current record
// of this node. It runs on the control goroutine.
func (d *directory) notifyRecorded() {
	if !d.registration.Registered() {
		return
	}
	for _, c := range d.recordWaiters {
		close(c)
	}
	d.recordWaiters = nil
}

// Leave implements kernel.Fleet.
func (d *directory) Leave() { d.Announce("", 0) }

// wakeRegistration makes runRegistration check for the next step.
func (d *directory) wakeRegistration() {
	select {
	case d.registrationWake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// runRegistration maintains this node's record in the store.
func (d *directory) runRegistration() {
	timer := time.AfterFunc(noBackendDelay, func() {
		d.k.Control.Go(func() {
			d.registration.SetRecord(d.self.Encode())
			d.wakeRegistration()
		})
	})
	defer timer.Stop()
	for d.ctx.Err() == nil {
		var step membership.Step
		var wait time.Duration
		if !d.k.Control.Do(func() { step, wait = d.registration.Next(time.Now()) }) {
			return
		}
		if step != membership.Wait {
			d.runStep(step)
			continue
		}
		select {
		case <-d.registrationWake:
		case <-time.After(wait):
		case <-d.ctx.Done():
		}
	}
}

// runStep makes the store call of one step and passes the result to the registration.
func (d *directory) runStep(step membership.Step) {
	d.storeCalls.Inc(1)
	r := d.registration
	var lease string
	var record []byte
	var expect uint64
	d.k.Control.Do(func() { lease, record, expect = r.WriteParams() })
	sent := time.Now()
	var err error
	var recordResult func(now time.Time)
	switch step {
	case membership.Grant:
		var granted string
		granted, err = d.store.Grant(d.ctx, membership.DefaultRegistrationConfig().TTL)
		recordResult = func(now time.Time) { r.GrantDone(granted, err, sent, now) }
	case membership.Write:
		var revision uint64
		revision, err = d.store.CompareAndSwap(d.ctx, d.ownKey(), record, expect, lease)
		recordResult = func(now time.Time) {
			r.WriteDone(record, revision, err, now)
			if err == nil {
				d.addSelf(record, revision)
			}
		}
	case membership.Read:
		e, readErr := d.store.Get(d.ctx, d.ownKey())
		err = readErr
		recordResult = func(now time.Time) {
			r.ReadDone(e.Revision, err, now)
			if err == nil {
				d.adoptFromEntry(e)
			}
		}
	case membership.Renew:
		err = d.store.Renew(d.ctx, lease)
		recordResult = func(now time.Time) { r.RenewDone(err, sent, now) }
	}
	d.k.Control.Do(func() {
		wasRegistered := r.Registered()
		wasFailing := r.Failing()
		recordResult(time.Now())
		d.registered.Store(r.Registered())
		d.notifyRecorded()
		d.logRegistration(wasRegistered, wasFailing, err)
	})
}

// addSelf adds this node to the members as soon as the store holds its record, and
// ends the wait for other members. It runs on the control goroutine.
func (d *directory) addSelf(record []byte, revision uint64) {
	m, err := membership.Decode(d.ownKey(), record, revision)
	if err != nil {
		d.log.Error("own_record_malformed", zap.Uint64("revision", revision), zap.Error(err))
		return
	}
	wasAlone := len(d.All()) == 0
	if d.fleet.Put(d.ownKey(), m) {
		d.logMember("joined", &m)
	}
	d.publish()
	if wasAlone {
		d.Refresh()
	}
}

// logRegistration logs when the store gains or loses the record, and when the store
// becomes unreachable or reachable again. It runs on the control goroutine.
func (d *directory) logRegistration(wasRegistered, wasFailing bool, err error) {
	r := d.registration
	if r.Registered() != wasRegistered {
		d.log.Info("registration", zap.Bool("registered", r.Registered()), zap.String("service", d.self.Service), zap.Error(err))
	}
	if r.Failing() != wasFailing {
		d.log.Warn("store", zap.Bool("reached", !r.Failing()), zap.Error(err))
	}
	if r.Failing() {
		d.storeFailures.Inc(1)
	}
}
