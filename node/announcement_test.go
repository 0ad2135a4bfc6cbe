package node

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	gometrics "github.com/rcrowley/go-metrics"
)

// overlapWait is how long the handling of an announcement is held up for one that
// arrives meanwhile. The second one takes all of it only if it waits for the first.
const overlapWait = 200 * time.Millisecond

// announcementDialect reads announcements from headers and answers 200.
type announcementDialect struct{ jackdawbridge.Dialect }

// ReadAnnouncement parses the headers State, Id, Born and Seq.
func (announcementDialect) ReadAnnouncement(r *http.Request) (jackdawbridge.Announcement, error) {
	var born, sequence uint64
	_, _ = fmt.Sscan(r.Header.Get("Born"), &born)
	_, _ = fmt.Sscan(r.Header.Get("Seq"), &sequence)
	state := jackdawbridge.BackendServing
	switch r.Header.Get("State") {
	case "left":
		return jackdawbridge.NewDeparture(r.Header.Get("Id"), born, sequence), nil
	case "draining":
		state = jackdawbridge.BackendDraining
	}
	a, err := jackdawbridge.NewAnnouncement("desk", netip.MustParseAddrPort("127.0.0.1:9"), 4, 8, state)
	return a.WithBackend(r.Header.Get("Id"), 0, born, sequence), err
}

// AcknowledgeAnnouncement answers 200.
func (announcementDialect) AcknowledgeAnnouncement(w http.ResponseWriter) {
	w.WriteHeader(http.StatusOK)
}

// eventRecorder is a reducer that records the events on the backend server.
type eventRecorder struct {
	jackdawbridge.Inspector
	events []string
}

// Apply records the event. It is called under the node's mutex.
func (r *eventRecorder) Apply(event jackdawbridge.Event, effects *jackdawbridge.Effects) {
	switch e := event.(type) {
	case *jackdawbridge.BackendLost:
		r.events = append(r.events, "lost")
	case *jackdawbridge.BackendAnnounced:
		text := "serving"
		if e.Draining() {
			text = "draining"
		}
		if e.Left() {
			text = "left"
		}
		r.events = append(r.events, text)
		effects.Acknowledge(e.Receipt())
	case *jackdawbridge.BackendDeparted:
		r.events = append(r.events, fmt.Sprint("departed born=", e.Process().Generation()))
		effects.Acknowledge(e.Receipt())
	}
}

// NextTick returns a time that a test does not reach.
func (r *eventRecorder) NextTick() jackdawbridge.Millis { return 1 << 40 }

// hookClock is a clock that stands still and calls a function once, when it is read.
type hookClock struct {
	now  jackdawbridge.Millis
	hook atomic.Pointer[func()]
}

// Now returns the time.
func (c *hookClock) Now() jackdawbridge.Millis {
	if hook := c.hook.Swap(nil); hook != nil {
		(*hook)()
	}
	return c.now
}

// announcementTest is a node without listeners whose reducer records events.
type announcementTest struct {
	node     *Node
	clock    *hookClock
	recorder *eventRecorder
}

func newAnnouncementTest(t *testing.T) *announcementTest {
	c := &announcementTest{clock: &hookClock{now: 1_000_000}, recorder: &eventRecorder{}}
	deps := NewDependencies(c.recorder, struct{ jackdawbridge.Store }{}, struct{ jackdawbridge.LinkClient }{},
		announcementDialect{}, c.clock, slog.New(slog.DiscardHandler), gometrics.NewRegistry())
	n, err := New(deps, DefaultLimits().WithHeartbeat(time.Hour), Addresses{})
	if err != nil {
		t.Fatal(err)
	}
	n.backend.wallTime = func() uint64 { return 1_000_000 }
	n.transport = struct{ jackdawbridge.Transport }{}
	n.timer = time.AfterFunc(time.Hour, func() {})
	c.node = n
	t.Cleanup(func() {
		n.timer.Stop()
		n.backend.close()
		n.log.close()
	})
	return c
}

// send serves the announcement that a line describes and returns the status of the
// answer.
func (c *announcementTest) send(line string) int {
	fields := strings.Fields(line)
	r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
	r.Header.Set("State", fields[0])
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	c.node.backend.serveAnnouncement(w, r)
	_, _ = io.Copy(io.Discard, w.Result().Body)
	return w.Code
}

// overlap sends the first announcement and, while it is being handled, the second.
func (c *announcementTest) overlap(first, second string) {
	var sent sync.WaitGroup
	hook := func() {
		ended := make(chan struct{})
		sent.Go(func() {
			defer close(ended)
			c.send(second)
		})
		select {
		case <-ended:
		case <-time.After(overlapWait):
		}
	}
	c.clock.hook.Store(&hook)
	c.send(first)
	sent.Wait()
}

// events returns and forgets the events since the last call.
func (c *announcementTest) events() string {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	text := strings.Join(c.recorder.events, ", ")
	c.recorder.events = nil
	if text == "" {
		return "no event"
	}
	return text
}

// TestAnnouncements runs the scripts of testdata/announcements. A line of input is an
// announcement: "serving", "draining" or "left", then id=, born= and seq=. The command
// "send" sends them one after the other, "overlap" sends the second one while the first
// is being handled, and "close" closes the node. The output shows the events that the
// reducer gets.
func TestAnnouncements(t *testing.T) {
	datadriven.Walk(t, "testdata/announcements", func(t *testing.T, path string) {
		c := newAnnouncementTest(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "send":
				return eachLine(d.Input, func(line string) string {
					status := c.send(line)
					return fmt.Sprintf("%d, %s", status, c.events())
				})
			case "overlap":
				first, second, _ := strings.Cut(d.Input, "\n")
				c.overlap(first, second)
				return c.events()
			case "close":
				c.node.mu.Lock()
				c.node.closed = true
				c.node.mu.Unlock()
				return ""
			case "restart":
				c = newAnnouncementTest(t)
				return ""
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}
