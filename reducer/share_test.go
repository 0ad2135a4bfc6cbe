package reducer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jackdawbridge/jackdawbridge"
)

// arrival is the time and the entry node of one request of a load pattern.
type arrival struct {
	at   jackdawbridge.Millis // since the start of the pattern
	node int                  // index
}

// poisson returns Poisson arrivals at a mean rate per second, spread at random over
// the given nodes.
func poisson(seed uint64, rate float64, span jackdawbridge.Millis, nodes ...int) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	for at := random.ExpFloat64() * 1000 / rate; at < float64(span); at += random.ExpFloat64() * 1000 / rate {
		list = append(list, arrival{jackdawbridge.Millis(at), nodes[random.IntN(len(nodes))]})
	}
	return list
}

// bursts returns count simultaneous arrivals at each of the given nodes in turn.
func bursts(count int, every jackdawbridge.Millis, nodes ...int) []arrival {
	var list []arrival
	for i, node := range nodes {
		for range count {
			list = append(list, arrival{jackdawbridge.Millis(i) * every, node})
		}
	}
	return list
}

// staticAdmissions counts the arrivals that static token buckets admit, one for each
// of n nodes. With n = 1 it is the oracle: a single bucket for the whole fleet,
// without any delay.
func staticAdmissions(arrivals []arrival, n int, rate, burst int64) (admitted int) {
	buckets := make([]bucket, n)
	for i := range buckets {
		buckets[i] = bucket{quota: quota{rate: rate * 1000 / int64(n), burst: burst / int64(n)}, level: burst / int64(n) * micro}
	}
	for _, a := range arrivals {
		b := &buckets[a.node%n]
		b.accrue(a.at)
		if b.level >= micro {
			b.level -= micro
			admitted++
		}
	}
	return admitted
}

// measureAdmissions counts the arrivals that six nodes in two data centres admit, and
// the messages that they exchange about tokens.
func measureAdmissions(t *testing.T, arrivals []arrival, rate, burst int64) (admitted, messages int) {
	h := newHarness()
	check := newShareChecker(h)
	h.afterStep = nil
	config := fmt.Sprintf("account a %d %d one:500,two:500\nroute s / high idempotent\nkey a a", rate, burst)
	if _, err := h.configure(config); err != nil {
		t.Fatal(err)
	}
	for i := range 6 {
		var joins []string
		for j := range i {
			joins = append(joins, fmt.Sprint("n", j))
		}
		h.start(fmt.Sprint("n", i), []jackdawbridge.DataCentre{"one", "two"}[i/3], joins...)
	}
	h.run(20 * jackdawbridge.Second)
	h.onSend = func(_, _ *fakeNode, frame jackdawbridge.Frame) linkFault {
		switch frame.Message().(type) {
		case *jackdawbridge.TokenRequest, *jackdawbridge.TokenGrant, *jackdawbridge.TokenDenial, *jackdawbridge.UsageReport:
			messages++
		}
		return linkFault{}
	}
	for _, a := range arrivals {
		h.after(a.at, func() {
			h.call(fmt.Sprint("n", a.node), jackdawbridge.NewRequest("r", "s", "GET", "/", 1000).WithKey(keyHash("a")))
		})
	}
	h.run(arrivals[len(arrivals)-1].at + jackdawbridge.Second)
	if check.violation != "" {
		t.Error(check.violation)
	}
	return check.meters["a"].count, messages
}

// TestWrongfulRefusals guards against refusals of requests that are inside the
// account's rate over the fleet. Their number is how many more requests the oracle
// admits. The bounds are the stated requirements: never more than with a static split
// per node, and at most 5% of what the oracle admits.
func TestWrongfulRefusals(t *testing.T) {
	const span = 20 * jackdawbridge.Second
	patterns := []struct {
		name        string
		rate, burst int64
		arrivals    []arrival
	}{
		{"all nodes, 95%", 300, 60, poisson(1, 285, span, 0, 1, 2, 3, 4, 5)},
		{"one data centre, 95%", 300, 60, poisson(2, 285, span, 0, 1, 2)},
		{"one node, 95%", 300, 60, poisson(3, 285, span, 4)},
		{"all nodes, 150%", 300, 60, poisson(4, 450, span, 0, 1, 2, 3, 4, 5)},
		{"one data centre, 150%", 300, 60, poisson(5, 450, span, 3, 4, 5)},
		{"one node, 150%", 300, 60, poisson(6, 450, span, 0)},
		{"bursts of 60", 300, 60, bursts(60, 5000, 0, 4, 1, 5, 2, 3)},
		{"low rate, 95%", 20, 12, poisson(7, 19, 5*span, 0, 1, 2, 3, 4, 5)},
		{"low rate, one node", 20, 12, poisson(8, 19, 5*span, 1)},
		{"high rate, one data centre", 6000, 600, poisson(9, 5700, span/4, 0, 1, 2)},
	}
	var lines []string
	for _, p := range patterns {
		oracle, static := staticAdmissions(p.arrivals, 1, p.rate, p.burst), staticAdmissions(p.arrivals, 6, p.rate, p.burst)
		ours, messages := measureAdmissions(t, p.arrivals, p.rate, p.burst)
		wrong, wrongStatic := max(oracle-ours, 0), oracle-static
		lines = append(lines, fmt.Sprintf("%-26s requests %6d  oracle admits %6d  wrongful %5d (%.2f%%)  static split %5d (%.2f%%)  messages/request %.2f",
			p.name, len(p.arrivals), oracle, wrong, 100*float64(wrong)/float64(oracle), wrongStatic, 100*float64(wrongStatic)/float64(oracle),
			float64(messages)/float64(len(p.arrivals))))
		if wrong > max(wrongStatic, 0) || wrong*20 > oracle {
			t.Errorf("%s: %d wrongful refusals: want at most the %d of a static split and at most 5%% of the %d that the oracle admits", p.name, wrong, wrongStatic, oracle)
		}
	}
	t.Log("\n" + strings.Join(lines, "\n"))
}

// TestTakeAllocatesNothing guards against allocations on the call path when the node
// has a token of the account.
func TestTakeAllocatesNothing(t *testing.T) {
	h := newHarness()
	if _, err := h.configure("account a 1 1000000 one:1000\nroute s / high idempotent\nkey a a"); err != nil {
		t.Fatal(err)
	}
	h.start("a", "one")
	h.run(5 * jackdawbridge.Second)
	r := h.nodes["a"].reducer
	var fx jackdawbridge.Effects
	r.fx = &fx
	tokens := r.shares.tokensOf("a")
	tokens.held = append(tokens.held, heldGrant{id: 1, issuer: r.self, left: 1000000, expires: r.now + grantLifetime})
	if n := testing.AllocsPerRun(1000, func() { r.shares.takeToken(7, "a") }); n != 0 {
		t.Errorf("takeToken allocates %v times: want 0", n)
	}
}
