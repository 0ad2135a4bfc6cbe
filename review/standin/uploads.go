//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	uploadBytes   = 96 << 10
	uploadCount   = 160
	uploadGap     = 50 * time.Millisecond
	uploadTimeout = 5 * time.Second
	leaveAfter    = 400 * time.Millisecond // of each third client, as give_up
	gonePeriod    = 500 * time.Millisecond // of rule GONE
	aFew          = 5
)

// upload is an upload as its client saw it.
type upload struct {
	id     string
	left   time.Time // zero if the client stayed
	unread int       // bytes that had not reached the node's machine when the client left
	status string
}

// uploads sends more uploads than a server can run at once, so that some wait, while three
// clients in ten leave before their deadline. The rule is broken if more than a few requests
// reach the server later than half a second after their client has left.
func uploads(f *fleet) (bool, error) {
	f.zones = []string{"zone-a"}
	if err := f.configure(route{routeHost, "/cufi502/", "upload", "lovo22d", 0}); err != nil {
		return false, err
	}
	entry, err := f.add("side-a-1", "huvo11a")
	if err != nil {
		return false, err
	}
	other, err := f.add("side-a-2", "lovo22d")
	if err != nil {
		return false, err
	}
	entry.serve(8, 10*time.Millisecond)
	s := other.serve(4, 260*time.Millisecond)
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the slow start of the server
	sent := make([]*upload, uploadCount)
	var group sync.WaitGroup
	for i := range sent {
		sent[i] = &upload{id: newID()}
		leaves := f.trouble && i%10 < 3
		group.Go(func() { sent[i].send(entry, leaves) })
		time.Sleep(uploadGap)
	}
	group.Wait()
	time.Sleep(time.Second)
	left := make(map[string]time.Time)
	counts := make(map[string]int)
	for _, u := range sent {
		counts[u.status]++
		if !u.left.IsZero() {
			if u.unread == 0 { // otherwise the close may not have reached the node's machine
				left[u.id] = u.left
			}
			f.record("request %s: its client left at %.3f s, %d bytes had not arrived", u.id, u.left.Sub(f.started).Seconds(), u.unread)
		}
	}
	gone, whole, ran := 0, 0, 0
	for _, a := range s.arrived() {
		at, ok := left[a.id]
		if !ok || a.at.Sub(at) <= gonePeriod {
			continue
		}
		f.record("request %s reached %s %.3f s after its client had left: %d bytes, whole %t, run to its end %t", a.id, s.id, a.at.Sub(at).Seconds(), a.body, a.whole, a.ran)
		gone++
		if a.whole {
			whole++
		}
		if a.ran {
			ran++
		}
	}
	f.record("uploads: %d, results %v, clients that left with all of their bytes delivered: %d", len(sent), counts, len(left))
	f.record("reached the server more than %s after their client had left: %d, with whole body: %d, run to the end: %d", gonePeriod, gone, whole, ran)
	if counts["200"] == 0 {
		return false, fmt.Errorf("no upload was served")
	}
	return gone > aFew, nil
}

// send sends an upload on a connection of its own, and closes that after a while if the
// client leaves.
func (u *upload) send(n *node, leaves bool) {
	conn, err := net.Dial("tcp", n.addresses["callers"])
	if err != nil {
		u.status = "no connection"
		return
	}
	defer conn.Close() //nolint:errcheck // its end is what the case is about
	_ = conn.SetDeadline(time.Now().Add(uploadTimeout + time.Second))
	head := fmt.Sprintf("POST /cufi502/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n",
		routeHost, u.id, uploadTimeout.Milliseconds(), credential, uploadBytes)
	if _, err := io.WriteString(conn, head); err != nil {
		u.status = "broken"
		return
	}
	if _, err := conn.Write(make([]byte, uploadBytes)); err != nil {
		u.status = "broken"
		return
	}
	if leaves {
		time.Sleep(leaveAfter)
		u.unread = unacknowledged(conn.(*net.TCPConn))
		u.left, u.status = time.Now(), "left"
		return
	}
	line := make([]byte, 12)
	if _, err := io.ReadFull(conn, line); err != nil {
		u.status = "no answer"
		return
	}
	u.status = string(line[9:])
}

// unacknowledged returns the bytes that a connection has sent and the other side has not
// acknowledged, -1 if unknown.
func unacknowledged(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	_ = raw.Control(func(fd uintptr) {
		if value, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = value
		}
	})
	return n
}
