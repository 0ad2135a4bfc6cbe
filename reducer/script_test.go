package reducer

import (
	"crypto/sha256"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/jackdawbridge/jackdawbridge"
)

// TestScripts runs each script of testdata: a list of commands with their
// expected output. The comments of a script name the failures that it guards
// against. The invariant checkers run after each step.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if filepath.Base(filepath.Dir(path)) != "testdata" {
			return // a file of TestPolicies or TestMatrix
		}
		h := newHarness()
		h.installCheckers(t.Fatalf)
		check := newShareChecker(h)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out, err := h.command(d)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			if check.violation != "" {
				d.Fatalf(t, "%s", check.violation)
			}
			return out
		})
	})
}

// command executes one command of a script. A command has the form "verb
// name=value ...", and its input has one item per line.
func (h *harness) command(d *datadriven.TestData) (string, error) {
	switch d.Cmd {
	case "config":
		return h.configure(d.Input)
	case "fleet":
		h.startFleet(arg(d, "prefix", "n"), jackdawbridge.DataCentre(arg(d, "dc", "one")), intArg(d, "count", 1), arg(d, "service", ""), arg(d, "join", ""))
	case "start":
		var joins []string
		for _, j := range strings.Split(arg(d, "join", ""), "+") {
			if j != "" {
				joins = append(joins, j)
			}
		}
		h.start(arg(d, "node", ""), jackdawbridge.DataCentre(arg(d, "dc", "one")), joins...)
	case "announce":
		h.announceAs(arg(d, "node", ""), jackdawbridge.ServiceName(arg(d, "service", "")), intArg(d, "slots", 4),
			arg(d, "state", ""), jackdawbridge.NewBackendProcess(arg(d, "id", ""), uint64(intArg(d, "born", 0)), uint64(intArg(d, "sequence", 0))),
			jackdawbridge.Millis(intArg(d, "cold", 0)))
	case "evacuate":
		h.evacuate(jackdawbridge.DataCentre(arg(d, "dc", "")), arg(d, "state", "on") == "on")
	case "slots":
		return strconv.Itoa(h.nodes[arg(d, "node", "")].reducer.self.Slots()), nil
	case "starts":
		return h.starts(arg(d, "node", ""), jackdawbridge.Millis(intArg(d, "last", 0)))
	case "depart":
		process := jackdawbridge.NewBackendProcess(arg(d, "id", ""), uint64(intArg(d, "born", 0)), 0)
		h.nodes[arg(d, "node", "")].apply(func(at jackdawbridge.Millis) jackdawbridge.Event {
			return jackdawbridge.NewBackendDeparted(at, process, 1)
		})
	case "acknowledged":
		return strconv.Itoa(h.nodes[arg(d, "node", "")].acknowledged), nil
	case "crash":
		n := h.nodes[arg(d, "node", "")]
		n.cold = jackdawbridge.Millis(intArg(d, "cold", 0))
		n.crash()
	case "by-address":
		h.byAddress = true
	case "run-alone":
		h.nodes[arg(d, "node", "")].exclusivePath = arg(d, "path", "")
	case "crashes":
		return h.crashCounts(), nil
	case "exited":
		return fmt.Sprint(h.nodes[arg(d, "node", "")].exited), nil
	case "stop":
		h.nodes[arg(d, "node", "")].apply(func(at jackdawbridge.Millis) jackdawbridge.Event { return jackdawbridge.NewStopRequested(at) })
	case "options":
		h.options = append(h.options, d.CmdArgs...)
	case "skew":
		h.clockSkews[arg(d, "node", "")] = jackdawbridge.Millis(intArg(d, "ms", 0))
	case "home":
		i := shardRange(jackdawbridge.AccountName(arg(d, "account", "")), intArg(d, "shard", 0))
		for _, name := range h.nodeNames {
			if n := h.nodes[name]; n.peer.DataCentre() == jackdawbridge.DataCentre(arg(d, "dc", "one")) && n.actsFor(i) {
				return name, nil
			}
		}
		return "none", nil
	case "holders":
		return h.holders(jackdawbridge.DataCentre(arg(d, "dc", "one"))), nil
	case "kill":
		for _, name := range h.matchingNodes(arg(d, "node", "")) {
			h.kill(name)
		}
	case "freeze":
		h.freeze(arg(d, "node", ""), jackdawbridge.Millis(intArg(d, "ms", 0)))
	case "lose":
		h.lose(intArg(d, "percent", 0))
	case "refuse":
		h.reportRefused(arg(d, "at", ""), arg(d, "node", ""))
	case "converge":
		return h.converge(jackdawbridge.Millis(intArg(d, "within", 0))), nil
	case "upstreams":
		return h.upstreams(arg(d, "node", ""), jackdawbridge.ServiceName(arg(d, "service", ""))), nil
	case "seeds":
		return h.seedHolders(jackdawbridge.DataCentre(arg(d, "dc", "one"))), nil
	case "cut", "heal":
		h.cutAll(arg(d, "from", ""), arg(d, "to", ""), d.Cmd == "cut", arg(d, "ways", "2") == "2")
	case "store-cut":
		h.store.cutOff(h.matchingNodes(arg(d, "from", "")), arg(d, "state", "on") == "on")
	case "store-calls":
		return h.store.showCalls(), nil
	case "store-record":
		return h.setRecordState(jackdawbridge.RecordName(arg(d, "name", "keys")), arg(d, "state", ""))
	case "withdraw":
		h.change(jackdawbridge.KeysTable, jackdawbridge.Tombstone(jackdawbridge.KeyEntryName(keyHash(arg(d, "key", "")))))
	case "omit":
		h.omit(arg(d, "entry", ""), d.HasArg("partial"))
	case "put-whole":
		h.putWhole()
	case "next-version":
		h.publishNext(arg(d, "version", ""))
	case "republish":
		h.change(jackdawbridge.ConfigTable, h.config...)
	case "grant":
		return "", h.publishKeys(arg(d, "key", ""), arg(d, "account", ""), intArg(d, "count", 1))
	case "in-force":
		return h.waitInForce(jackdawbridge.Millis(intArg(d, "within", 0))), nil
	case "watchers":
		return strconv.Itoa(len(h.watchers(jackdawbridge.DataCentre(arg(d, "dc", "one"))))), nil
	case "freeze-watchers":
		for _, name := range h.watchers(jackdawbridge.DataCentre(arg(d, "dc", "one"))) {
			h.freeze(name, jackdawbridge.Millis(intArg(d, "ms", 0)))
		}
	case "cut-watchers":
		h.store.cutOff(h.watchers(jackdawbridge.DataCentre(arg(d, "dc", "one"))), true)
	case "cut-ranks":
		h.store.cutOff(h.lowestRanks(jackdawbridge.DataCentre(arg(d, "dc", "one")), intArg(d, "below", 0)), true)
	case "kill-watchers":
		for _, name := range h.watchers(jackdawbridge.DataCentre(arg(d, "dc", "one"))) {
			h.kill(name)
		}
	case "oldest-confirmation":
		return h.oldestConfirmation(), nil
	case "revisions":
		return h.revisions(arg(d, "node", "")), nil
	case "drop":
		for _, kind := range strings.Split(arg(d, "kind", ""), "+") {
			h.droppedMessages[kind+" "+arg(d, "to", "")] = arg(d, "state", "on") == "on"
		}
	case "late":
		for _, a := range h.matchingNodes(arg(d, "from", "")) {
			for _, b := range h.matchingNodes(arg(d, "to", "")) {
				h.messageDelays[[2]string{a, b}] = jackdawbridge.Millis(intArg(d, "ms", 0))
			}
		}
	case "store":
		h.store.setDown(arg(d, "state", "up") == "down")
		h.store.lostAnswers = intArg(d, "lose", 0)
		h.store.extraDelay = jackdawbridge.Millis(intArg(d, "slow", 0))
		h.store.failAfter = jackdawbridge.Millis(intArg(d, "hang", 0))
	case "store-lapse":
		h.store.lapse()
	case "store-era":
		h.store.era, h.store.keepCopies = uint64(intArg(d, "number", 1)), true
	case "store-return":
		h.store.returnFrom(jackdawbridge.Millis(intArg(d, "age", 0)))
	case "store-publish":
		h.store.publishAgain()
	case "store-has":
		_, ok := h.store.records[jackdawbridge.RecordName(arg(d, "name", ""))]
		return strconv.FormatBool(ok), nil
	case "service-time":
		h.nodes[arg(d, "node", "")].serviceTime = jackdawbridge.Millis(intArg(d, "ms", 5))
	case "resets":
		h.nodes[arg(d, "node", "")].resets = arg(d, "state", "on") == "on"
	case "load":
		h.nodes[arg(d, "node", "")].load, _ = jackdawbridge.NewBackendLoad(intArg(d, "running", 1), intArg(d, "waiting", 0), intArg(d, "slots", 1), intArg(d, "pace", jackdawbridge.UsualPace))
	case "call":
		return h.scheduleCalls(d)
	case "run":
		h.run(jackdawbridge.Millis(intArg(d, "ms", 0)))
	case "results":
		return h.summary(), nil
	case "result":
		return h.resultOf(jackdawbridge.RequestID(arg(d, "id", ""))), nil
	case "forget-results":
		clear(h.results)
	case "executions":
		return fmt.Sprint(len(h.executions)), nil
	case "count":
		return strconv.Itoa(len(h.logLines(arg(d, "part", ""), arg(d, "node", ""), arg(d, "contains", "")))), nil
	case "log":
		return strings.Join(h.logLines(arg(d, "part", ""), arg(d, "node", ""), arg(d, "contains", "")), "\n"), nil
	default:
		return "", fmt.Errorf("unknown command %s", d.Cmd)
	}
	return "", nil
}

func arg(d *datadriven.TestData, name, fallback string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) > 0 {
			return strings.Join(a.Vals, ",")
		}
	}
	return fallback
}

func intArg(d *datadriven.TestData, name string, fallback int) int {
	n, err := strconv.Atoi(arg(d, name, strconv.Itoa(fallback)))
	if err != nil {
		return fallback
	}
	return n
}

func keyHash(key string) jackdawbridge.KeyHash { return sha256.Sum256([]byte(key)) }

// configure publishes accounts, routes and keys, one per line:
//
//	account NAME RATE BURST DC:PERMILLE,... [paid] [refuse]
//	route SERVICE PREFIX CRITICALITY [idempotent] [open] [to=SERVICE:WEIGHT,...] [timeout=MS] [attempts=N] [closed]
//	key KEY ACCOUNT
//	cold SERVICE MS RATE
//
// An account with "paid" has paid priority. One with "refuse" is not served
// without confirmation.
func (h *harness) configure(input string) (string, error) {
	h.config, h.keys = nil, nil
	routes := make(map[string][]*jackdawbridge.Route)
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		var err error
		switch f[0] {
		case "account":
			err = h.addAccount(f)
		case "route":
			var c jackdawbridge.Criticality
			var route *jackdawbridge.Route
			if c, err = jackdawbridge.ParseCriticality(f[3]); err == nil {
				route, err = newRoute(f, c)
			}
			routes[f[1]] = append(routes[f[1]], route)
		case "cold":
			var s *jackdawbridge.SlowStart
			s, err = newSlowStart(f)
			h.config = append(h.config, jackdawbridge.SlowStartEntry(s))
		case "key":
			var k *jackdawbridge.Key
			k, err = jackdawbridge.NewKey(keyHash(f[1]), jackdawbridge.AccountName(f[2]), "")
			h.keys = append(h.keys, jackdawbridge.KeyEntry(k))
		}
		if err != nil {
			return "", err
		}
	}
	for name, list := range routes {
		s, err := jackdawbridge.NewService(jackdawbridge.ServiceName(name), list)
		if err != nil {
			return "", err
		}
		h.config = append(h.config, jackdawbridge.ServiceEntry(s))
	}
	h.publish()
	return "", nil
}

// newRoute parses the fields of a route line in the input of configure.
func newRoute(f []string, c jackdawbridge.Criticality) (*jackdawbridge.Route, error) {
	route, err := jackdawbridge.NewRoute(f[2], nil, c, slices.Contains(f, "idempotent"), slices.Contains(f, "open"))
	if err != nil {
		return nil, err
	}
	for _, field := range f[4:] {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "timeout":
			route = route.WithTimes(jackdawbridge.Millis(n), 0)
		case "attempts":
			route = route.WithAttempts(n)
		case "closed":
			route = route.AsClosed()
		case "to":
			var destinations []jackdawbridge.Destination
			for _, part := range strings.Split(value, ",") {
				service, weight, _ := strings.Cut(part, ":")
				n, _ := strconv.Atoi(weight)
				d, err := jackdawbridge.NewDestination(jackdawbridge.ServiceName(service), n)
				if err != nil {
					return nil, err
				}
				destinations = append(destinations, d)
			}
			route = route.WithDestinations(destinations)
		}
	}
	return route, nil
}

func (h *harness) addAccount(f []string) error {
	rate, _ := strconv.ParseInt(f[2], 10, 64)
	burst, _ := strconv.ParseInt(f[3], 10, 64)
	var shares []jackdawbridge.Share
	for _, part := range strings.Split(f[4], ",") {
		dc, permille, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(permille)
		s, err := jackdawbridge.NewShare(jackdawbridge.DataCentre(dc), n)
		if err != nil {
			return err
		}
		shares = append(shares, s)
	}
	a, err := jackdawbridge.NewAccount(jackdawbridge.AccountName(f[1]), rate, burst, shares)
	if err != nil {
		return err
	}
	h.config = append(h.config, jackdawbridge.AccountEntry(a.WithPaidPriority(slices.Contains(f, "paid")).WithServeUnconfirmed(!slices.Contains(f, "refuse"))))
	return nil
}

// cutAll cuts or restores the links from each node that matches from to each that
// matches to, and the links back if both is true.
func (h *harness) cutAll(from, to string, on, both bool) {
	for _, a := range h.matchingNodes(from) {
		for _, b := range h.matchingNodes(to) {
			h.cut(a, b, on)
			if both {
				h.cut(b, a, on)
			}
		}
	}
}

// matchingNodes returns the nodes with the given name, those of the data centre with
// that name and, if it ends in *, those whose names begin with the text before the *.
func (h *harness) matchingNodes(name string) []string {
	var names []string
	for _, n := range h.nodeNames {
		prefix, ok := strings.CutSuffix(name, "*")
		if n == name || string(h.nodes[n].peer.DataCentre()) == name || ok && strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	return names
}

// scheduleCalls schedules the requests of a command:
//
//	call node=a id=r1 service=s path=/p [query=q] [method=m] [key=k] [idempotency=key] [count=n every=ms] [budget=ms] [untied] [parent=id]
//
// A request with "untied" or a parent may have been sent by the backend server of the
// node on behalf of a request that it runs. The parent is the id of that request.
func (h *harness) scheduleCalls(d *datadriven.TestData) (string, error) {
	node, id, count := arg(d, "node", ""), arg(d, "id", "r"), intArg(d, "count", 1)
	every := jackdawbridge.Millis(intArg(d, "every", 1))
	if h.nodes[node] == nil {
		return "", fmt.Errorf("no node %q", node)
	}
	service, method, path := jackdawbridge.ServiceName(arg(d, "service", "")), arg(d, "method", "GET"), arg(d, "path", "/")
	budget := jackdawbridge.Millis(intArg(d, "budget", 1000))
	key, idempotency, parent, query := arg(d, "key", ""), arg(d, "idempotency", ""), arg(d, "parent", ""), arg(d, "query", "")
	untied := d.HasArg("untied") || parent != ""
	for i := range count {
		name := id
		if count > 1 {
			name += "-" + strconv.Itoa(i)
		}
		h.after(jackdawbridge.Millis(i)*every, func() {
			request := jackdawbridge.NewRequest(jackdawbridge.RequestID(name), service, method, path, budget).WithQuery(query)
			if key != "" {
				request.WithKey(keyHash(key))
			}
			if untied {
				request.WithMaybeInternal(jackdawbridge.RequestID(parent))
			}
			h.call(node, request.WithIdempotencyKey(idempotency))
		})
	}
	return "", nil
}

// summary returns the number of requests for each outcome.
func (h *harness) summary() string {
	ends := make(map[string]int)
	for id := range h.results {
		ends[h.resultOf(id)]++
	}
	lines := make([]string, 0, len(ends))
	for end, n := range ends {
		lines = append(lines, fmt.Sprintf("%s: %d", end, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// resultOf returns the outcome of a request, or "none" while it is pending.
func (h *harness) resultOf(id jackdawbridge.RequestID) string {
	r, ok := h.results[id]
	switch {
	case !ok:
		return "none"
	case r.served:
		return "served"
	}
	return r.refusal.Outcome().String() + " " + r.refusal.Reason().String()
}

// crashCounts returns how often the backend server of each node crashed. It leaves out
// the nodes where that is never.
func (h *harness) crashCounts() string {
	var lines []string
	for _, name := range h.nodeNames {
		if n := h.nodes[name]; n.crashes > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d", name, n.crashes))
		}
	}
	return strings.Join(lines, "\n")
}

// logLines returns the log lines of a part that contain a text. They are those of the
// given node, or of all nodes if its name is empty. An underscore in the text stands
// for a space.
func (h *harness) logLines(part, node, text string) []string {
	var lines []string
	for _, line := range h.trace {
		f := strings.Fields(line)
		if f[2] == part+":" && (node == "" || f[1] == node) && strings.Contains(line, strings.ReplaceAll(text, "_", " ")) {
			lines = append(lines, line)
		}
	}
	return lines
}
