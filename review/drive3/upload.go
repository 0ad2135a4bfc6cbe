package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadWork is how long an upstream works on an upload.
	uploadWork = 900 * time.Millisecond
	// uploadPause is the time between two uploads of the clients of a machine.
	uploadPause = 150 * time.Millisecond
	// uploadTime is the deadline of an upload.
	uploadTime = 5 * time.Second
	// meanUpload and uploadSpread give the length of an ordinary upload in bytes.
	meanUpload   = 58_000
	uploadSpread = 4_000
	// notedUpload is the length of some uploads, in bytes.
	notedUpload = 65_537
	// lastPart is the part of the grace period in which an upstream's work is no excuse any more.
	lastPart = graceTime / 6
)

// upload is an upload of a client.
type upload struct {
	size         int
	sent, ended  time.Time
	began        time.Time // when the upstream began to work on it, zero if it did not
	brokenOff    time.Time // when its connection ended at the upstream before its work was done
	status       int
	signed       bool
	withoutReply bool
}

// uploads keeps the uploads of a case by their ids.
type uploads struct {
	mu  sync.Mutex
	all map[string]*upload
}

func (u *uploads) change(id string, f func(*upload)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if x, ok := u.all[id]; ok {
		f(x)
	}
}

// lost returns how many uploads were broken off at an upstream that was at work on them, and
// ended without an answer or with one of the node's own. If term is set, only those count that
// the rule counts around a SIGTERM at that time.
func (u *uploads) lost(term time.Time) (brokenOff int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, x := range u.all {
		switch {
		case x.began.IsZero() || x.brokenOff.IsZero() || x.signed:
		case x.ended.Sub(x.sent) >= uploadTime: // the deadline was reached
		case term.IsZero():
			brokenOff++
		case x.ended.Before(term) || x.ended.After(term.Add(graceTime-lastPart)):
		default:
			brokenOff++
		}
	}
	return brokenOff
}

// uploadAtStop stops a machine in order while its clients upload. Some of the uploads have a
// length of notedUpload.
func uploadAtStop(record *recorder, trouble bool) (int, error) {
	f, err := newFleet(record, []string{"zona-uno", "zona-due"})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	u := &uploads{all: make(map[string]*upload)}
	f.work = u.run
	entry := f.addMachine("sidecar-zona-uno-1", "zona-uno", "balancedesk")
	f.addMachine("sidecar-zona-due-1", "zona-due", "balancedesk")
	f.addMachine("sidecar-zona-uno-2", "zona-uno", "logyard")
	f.addMachine("sidecar-zona-due-2", "zona-due", "logyard")
	f.configure(7, []route{
		{host: "log.example", prefix: "/trail/", kind: "upload", service: "logyard", attempts: 2, timeoutMs: 5000, priority: 1},
		{host: "balance.example", prefix: "/balance/", kind: "idempotent", service: "balancedesk", attempts: 2, timeoutMs: 5000, priority: 2},
	}, map[string][]string{"pulo780": {clientKey}})
	if err := f.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(stableWindow + 2*time.Second)
	clients := newClient(entry)
	var sent sync.WaitGroup
	stop := make(chan struct{})
	sent.Go(func() { u.ordinary(&sent, clients, stop) })
	time.Sleep(3 * time.Second)
	term := time.Now()
	if trouble {
		entry.term()
	}
	for range 3 {
		time.Sleep(400 * time.Millisecond)
		sent.Go(func() { u.send(clients, notedUpload) })
	}
	time.Sleep(400 * time.Millisecond)
	close(stop) // the platform has missed two answers of the readiness check by now
	sent.Wait()
	record.say("%d uploads of %d bytes and less than that of others: %d were broken off while their upstream was at work", len(u.all), notedUpload, u.lost(time.Time{}))
	if !trouble {
		record.say("no machine was stopped, so that the rule counts none of them")
		return ruleHeld, nil
	}
	n := u.lost(term)
	record.say("%d of them after the SIGTERM of the machine that took them, and before the last sixth of its grace period", n)
	if n > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// run works on an upload, unless the connection ends before that.
func (u *uploads) run(up *upstream, r *http.Request, body []byte) (int, []byte, bool) {
	id, record := r.Header.Get("Attempt-Id"), up.m.fleet.record
	u.change(id, func(x *upload) { x.began = time.Now() })
	record.line("upload %s of %d bytes begins to run at %s", id, len(body), up.m.name)
	select {
	case <-time.After(uploadWork):
		record.line("upload %s has run at %s", id, up.m.name)
		return http.StatusOK, []byte("stored"), true
	case <-r.Context().Done():
		u.change(id, func(x *upload) { x.brokenOff = time.Now() })
		record.line("upload %s is broken off at %s, which was at work on it", id, up.m.name)
		return 0, nil, false
	}
}

// ordinary sends ordinary uploads.
func (u *uploads) ordinary(sent *sync.WaitGroup, clients *client, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(uploadPause):
		}
		sent.Go(func() { u.send(clients, meanUpload+rand.IntN(2*uploadSpread)-uploadSpread) })
	}
}

// send sends an upload and records how it ends.
func (u *uploads) send(clients *client, size int) {
	record := clients.m.fleet.record
	a := attempt{method: http.MethodPost, host: "log.example", path: "/trail/log", key: clientKey, timeout: uploadTime, body: bytes.Repeat([]byte("m"), size)}
	got := clients.sendAs(a, func(id string) {
		u.mu.Lock()
		u.all[id] = &upload{size: size, sent: time.Now()}
		u.mu.Unlock()
		record.line("upload %s of %d bytes is sent to %s", id, size, clients.m.name)
	})
	u.change(got.id, func(x *upload) {
		x.ended, x.status, x.signed, x.withoutReply = time.Now(), got.status, got.signed, got.err != nil
	})
	record.line("upload %s ends with status %d, signed by the upstream: %t, body %q, error %v", got.id, got.status, got.signed, got.body, got.err)
}
