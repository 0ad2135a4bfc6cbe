package queue

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
	"pgregory.net/rapid"
)

// TestScripts runs the files of testdata. Each line below "do" is one operation:
// at MS (sets the time), push CALL ACCOUNT CRITICALITY [paid] [depth=N] [deadline=MS] [cost=MS],
// pop, remove CALL, expire, level. The output has the result of each operation; a push
// has one only if it shed a call.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var q jackdawbridge.Queue
		var now jackdawbridge.Millis
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "priority", "fifo":
				var size int
				d.ScanArgs(t, "size", &size)
				now = 0
				if q = NewPriority(size); d.Cmd == "fifo" {
					q = NewFIFO(size)
				}
				return ""
			case "do":
				var out strings.Builder
				for _, line := range strings.Split(d.Input, "\n") {
					runOperation(d, t, q, &now, strings.Fields(line), &out)
				}
				return out.String()
			}
			d.Fatalf(t, "unknown command")
			return ""
		})
	})
}

func runOperation(d *datadriven.TestData, t *testing.T, q jackdawbridge.Queue, now *jackdawbridge.Millis, f []string, out *strings.Builder) {
	switch f[0] {
	case "at":
		n, err := strconv.Atoi(f[1])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		*now = jackdawbridge.Millis(n)
	case "push":
		if shed, full := q.Push(*now, parseQueuedCall(f[1:], *now)); full {
			fmt.Fprintf(out, "shed %d\n", shed.Call())
		}
	case "pop":
		w, ok := q.Pop(*now)
		fmt.Fprintf(out, "pop %d %t\n", w.Call(), ok)
	case "remove":
		n, _ := strconv.Atoi(f[1])
		fmt.Fprintf(out, "removed %t\n", q.Remove(jackdawbridge.CallID(n)))
	case "expire":
		w, ok := q.Expire(*now, 10)
		fmt.Fprintf(out, "expired %d %t\n", w.Call(), ok)
	case "level":
		fmt.Fprintf(out, "level %d\n", q.Level(*now))
	default:
		d.Fatalf(t, "unknown operation %s", f[0])
	}
}

func parseQueuedCall(f []string, now jackdawbridge.Millis) jackdawbridge.QueuedCall {
	call, _ := strconv.Atoi(f[0])
	c, _ := jackdawbridge.ParseCriticality(f[2])
	envelope := jackdawbridge.NewEnvelope("", jackdawbridge.AccountName(f[1]), "s", c, 0)
	deadline, cost := now+2000, 0
	for _, option := range f[3:] {
		name, value, _ := strings.Cut(option, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "paid":
			envelope = envelope.WithPaidPriority(true)
		case "depth":
			envelope = envelope.WithDepth(n)
		case "deadline":
			deadline = jackdawbridge.Millis(n)
		case "cost":
			cost = n
		}
	}
	return jackdawbridge.NewQueuedCall(jackdawbridge.CallID(call), envelope, now, deadline).WithCost(jackdawbridge.Millis(cost))
}

// TestPriorityKeepsOrder guards against a call that is lost, returned twice or overtaken
// by one of a lower rank, under any order of operations and with more accounts than the
// queue has flows for.
func TestPriorityKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		q := NewPriority(size)
		queued := make(map[jackdawbridge.CallID]jackdawbridge.QueuedCall)
		drop := func(w jackdawbridge.QueuedCall, what string) {
			if _, ok := queued[w.Call()]; !ok {
				t.Fatalf("%s returned call %d, which was not waiting", what, w.Call())
			}
			delete(queued, w.Call())
		}
		now := jackdawbridge.Millis(0)
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += jackdawbridge.Millis(rapid.IntRange(0, 60).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1, 2:
				envelope := jackdawbridge.NewEnvelope("", jackdawbridge.AccountName(fmt.Sprint(rapid.IntRange(0, 400).Draw(t, "account"))), "s",
					jackdawbridge.Criticality(rapid.IntRange(0, 3).Draw(t, "criticality")), 0).
					WithPaidPriority(rapid.Bool().Draw(t, "paid")).WithDepth(rapid.IntRange(0, jackdawbridge.MaxDepth).Draw(t, "depth"))
				w := jackdawbridge.NewQueuedCall(jackdawbridge.CallID(i+1), envelope, now, now+jackdawbridge.Millis(rapid.IntRange(0, 3000).Draw(t, "deadline")))
				queued[w.Call()] = w
				shed, full := q.Push(now, w)
				if !full {
					break
				}
				drop(shed, "push")
				for _, other := range queued {
					if other.Rank() < shed.Rank() {
						t.Fatalf("push shed a call of rank %d while one of rank %d was waiting", shed.Rank(), other.Rank())
					}
				}
			case 3:
				w, ok := q.Pop(now)
				if ok {
					drop(w, "pop")
				}
				for _, other := range queued {
					if !ok || other.Rank() > w.Rank() {
						t.Fatalf("pop returned rank %d, %t while a call of rank %d was waiting", w.Rank(), ok, other.Rank())
					}
				}
			case 4:
				if w, ok := q.Expire(now, 10); ok {
					drop(w, "expire")
				}
			case 5:
				call := jackdawbridge.CallID(rapid.IntRange(1, i+1).Draw(t, "call"))
				_, want := queued[call]
				if got := q.Remove(call); got != want {
					t.Fatalf("Remove(%d) returned %t: want %t", call, got, want)
				}
				delete(queued, call)
			}
			if q.Len() != len(queued) || q.Len() > size {
				t.Fatalf("%d calls are waiting: want %d, and at most %d", q.Len(), len(queued), size)
			}
		}
	})
}

// pushAndPopAll pushes all calls and pops as many.
func pushAndPopAll(q *Priority, calls []jackdawbridge.QueuedCall) {
	for _, w := range calls {
		q.Push(w.Arrived(), w)
	}
	for range calls {
		q.Pop(0)
	}
}

func newCalls(n, accounts int) []jackdawbridge.QueuedCall {
	list := make([]jackdawbridge.QueuedCall, 0, n)
	for i := range n {
		envelope := jackdawbridge.NewEnvelope("", jackdawbridge.AccountName(fmt.Sprint(i%accounts)), "s", jackdawbridge.Criticality(i%4), 0).WithDepth(i % 5)
		list = append(list, jackdawbridge.NewQueuedCall(jackdawbridge.CallID(i+1), envelope, 0, jackdawbridge.Millis(1000+i)))
	}
	return list
}

// TestPriorityAllocations guards against allocations in Push and Pop, which run for each
// call.
func TestPriorityAllocations(t *testing.T) {
	q, list := NewPriority(256), newCalls(200, 8)
	pushAndPopAll(q, list)
	if got := testing.AllocsPerRun(100, func() { pushAndPopAll(q, list) }); got != 0 {
		t.Errorf("%v allocations for %d calls: want none", got, len(list))
	}
}

func BenchmarkPriority(b *testing.B) {
	q, list := NewPriority(256), newCalls(200, 8)
	b.ReportAllocs()
	for b.Loop() {
		pushAndPopAll(q, list)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(list)), "ns/call")
}
