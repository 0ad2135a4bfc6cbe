package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var (
	soakSeeds   = flag.Int("soak.seeds", 0, "number of seeds of TestSoakLong, which is skipped with 0")
	soakFirst   = flag.Int("soak.first", 1, "first seed of TestSoakLong")
	soakNodes   = flag.Int("soak.nodes", 4, "number of nodes of TestSoakLong")
	soakSeconds = flag.Int("soak.seconds", 15, "length of a run of TestSoakLong in seconds")
)

const (
	soakGrace     = 3 * time.Second
	soakDrain     = time.Second
	soakExitSlack = 2 * time.Second        // for the end of a process after soakGrace
	soakLossSlack = 200 * time.Millisecond // after which a request that was sent has been read
	soakClients   = 4                      // of each node
)

// TestSoak guards against requests that are lost, changed or run twice while nodes and backend
// servers stop, die and start again in any order, keys are added and the platform's service is
// away, under clients that use their connections until these are closed.
func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	datadriven.RunTest(t, "testdata/soak", func(t *testing.T, d *datadriven.TestData) string {
		seed, seconds, nodes := 0, 0, 0
		d.ScanArgs(t, "seed", &seed)
		d.ScanArgs(t, "seconds", &seconds)
		d.ScanArgs(t, "nodes", &nodes)
		return runSoak(t, bin, uint64(seed), nodes, time.Duration(seconds)*time.Second)
	})
}

// TestSoakLong runs further seeds of TestSoak. It is started by hand.
func TestSoakLong(t *testing.T) {
	if *soakSeeds == 0 {
		t.Skip("started by hand with -soak.seeds")
	}
	bin := buildPrograms(t)
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			if found := runSoak(t, bin, uint64(seed), *soakNodes, time.Duration(*soakSeconds)*time.Second); found != "" {
				t.Error(found)
			}
		})
	}
}

// soak is a fleet whose processes are disturbed while clients call it.
type soak struct {
	f     *fleet
	group sync.WaitGroup
	end   time.Time // no disturbance and no request begins after it

	mu       sync.Mutex            // also guards the processes of f
	started  int                   // processes started
	backends []*process            // all backend servers that were started
	requests []*soakRequest        // all requests of the clients
	lives    map[string]*soakLives // by the first part of the names of the processes
	found    map[string]bool       // violations
}

// soakRequest is a request as its client has seen it.
type soakRequest struct {
	id, node   string
	body       []byte
	repeatable bool
	began      time.Time // when its first byte was sent
	sent       time.Time // when its last byte was sent, zero if it was not sent to its end
	ended      time.Time // when its answer or its connection ended
	status     int       // 0 without an answer
	outcome    string    // of a refusal
	killed     bool      // the process of its node was killed meanwhile
	left       bool      // its client has closed the connection
}

// runSoak runs a fleet and returns the violations, or "" if there are none. The seed decides
// on the kinds and the times of all disturbances and requests.
func runSoak(t *testing.T, bin string, seed uint64, nodes int, length time.Duration) string {
	s := &soak{f: newFleet(t, bin), found: make(map[string]bool), lives: make(map[string]*soakLives)}
	defer s.f.close()
	random := rand.New(rand.NewPCG(seed, 0))
	if err := s.startFleet(nodes); err != nil {
		t.Fatal(err)
	}
	s.end = time.Now().Add(length)
	s.mu.Lock() // no process is started again before all have their goroutines
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		first, firstBackend := s.f.processes[name], s.f.processes["backend-"+name]
		lives := s.addLives(name, name, rand.New(rand.NewPCG(seed, random.Uint64())))
		s.group.Go(func() { lives.node(first) })
		if firstBackend != nil {
			lives := s.addLives(name, "backend-"+name, rand.New(rand.NewPCG(seed, random.Uint64())))
			s.group.Go(func() { lives.backend(firstBackend) })
		}
		for range soakClients {
			c := &soakClient{s: s, lives: lives, random: rand.New(rand.NewPCG(seed, random.Uint64()))}
			s.group.Go(c.run)
		}
	}
	changes := rand.New(rand.NewPCG(seed, random.Uint64()))
	s.group.Go(func() { s.changePlatform(changes) })
	s.mu.Unlock()
	s.group.Wait()
	s.judge()
	var lines []string
	for text := range s.found {
		lines = append(lines, text)
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// addLives adds the processes that take turns beside the node of the given name.
func (s *soak) addLives(node, process string, random *rand.Rand) *soakLives {
	lives := &soakLives{s: s, name: node, process: process, random: random}
	s.lives[process] = lives
	return lives
}

// startFleet starts the processes and waits until each node serves calls.
func (s *soak) startFleet(nodes int) error {
	f := s.f
	f.platform = f.freeAddress()
	if err := f.startStandin("platform", "platform", "--listen", f.platform); err != nil {
		return err
	}
	for i := range nodes {
		if err := f.startNode(fmt.Sprintf("n%d", i), "tanger", "--grace-period="+soakGrace.String(), "--drain-period="+soakDrain.String()); err != nil {
			return err
		}
	}
	for i := 0; i < nodes; i += 2 {
		name := fmt.Sprintf("n%d", i)
		if err := f.startStandin("backend-"+name, s.backendArgs(name)...); err != nil {
			return err
		}
		s.backends = append(s.backends, f.processes["backend-"+name])
	}
	if _, err := f.apply(&datadriven.TestData{CmdArgs: []datadriven.CmdArg{{Key: "file", Vals: []string{"atlas.yaml"}}}}); err != nil {
		return err
	}
	if err := f.give("tizi-treks", "k"); err != nil {
		return err
	}
	for _, m := range f.nodes {
		if _, err := f.poll("an answer of each node", func() (string, bool) {
			a := call(context.Background(), http.DefaultClient, http.MethodGet, m.callers, "/balancedesk/balance/first", f.keys["k"], nil)
			return a.String(), a.status == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) backendArgs(node string) []string {
	return []string{"backend", "--listen", s.f.freeAddress(), "--node", s.f.nodes[node].backend, "--service", "balancedesk", "--slots", "8", "--drain", soakDrain.String()}
}

// changePlatform creates keys and takes the platform's service away until the run ends. Changes
// may fail while it is away.
func (s *soak) changePlatform(random *rand.Rand) {
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		if random.IntN(2) == 0 {
			_, _ = s.f.run("", "keys", "give", "--platform", s.f.platform, "--account", "tizi-treks", "--wait", "1s")
			continue
		}
		s.setDown(true)
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		s.setDown(false)
	}
}

// setDown begins or ends an outage of the platform's service.
func (s *soak) setDown(down bool) {
	request, err := http.NewRequest(http.MethodPut, "http://"+s.f.platform+"/control", strings.NewReader(fmt.Sprintf(`{"down": %t}`, down)))
	if err == nil {
		var response *http.Response
		if response, err = http.DefaultClient.Do(request); err == nil {
			err = response.Body.Close()
		}
	}
	if err != nil {
		s.report("platform cannot be controlled: %v", err)
	}
}

// report records a violation.
func (s *soak) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found[fmt.Sprintf(format, args...)] = true
}

// soakLives stops a process again and again and starts its successor.
type soakLives struct {
	s       *soak
	name    string // of the node
	process string // first part of the names of the processes
	random  *rand.Rand

	mu    sync.Mutex
	kills []time.Time // of the process
	stops []time.Time // signals that end the process, and the starts of its successors, in turn
}

// pause waits for a random time up to limit and reports whether the run goes on.
func (l *soakLives) pause(limit time.Duration) bool {
	time.Sleep(time.Duration(l.random.Int64N(int64(limit))))
	return time.Now().Before(l.s.end)
}

// pauseInStop waits like pause. Half of the times are around those at which a process that
// stops changes what it does.
func (l *soakLives) pauseInStop(limit time.Duration) {
	bounds := []time.Duration{0, soakDrain, soakGrace / 2}
	if bound := bounds[l.random.IntN(len(bounds))]; bound <= limit && l.random.IntN(2) == 0 {
		time.Sleep(bound + time.Duration(l.random.IntN(2*boundSlack+1)-boundSlack)*time.Millisecond)
		return
	}
	l.pause(limit)
}

// mark records the begin or the end of the time in which the process is stopped and started
// again.
func (l *soakLives) mark(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops = append(l.stops, at)
}

// disturbed reports whether the process was stopped or started again between two times.
func (l *soakLives) disturbed(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i < len(l.stops); i += 2 {
		if l.stops[i].Before(to) && (i+1 == len(l.stops) || l.stops[i+1].After(from)) {
			return true
		}
	}
	return false
}

// live waits while a process runs and reports whether the run goes on. The process has
// installed its signal handlers by then.
func (l *soakLives) live() bool {
	time.Sleep(time.Second)
	return l.pause(8 * time.Second)
}

// stop stops a process by one or two signals or kills it, and waits for its end.
func (l *soakLives) stop(p *process) {
	began := time.Now()
	l.mark(began)
	if l.random.IntN(5) == 0 {
		l.mu.Lock()
		l.kills = append(l.kills, began)
		l.mu.Unlock()
		_ = p.command.Process.Kill()
		<-p.ended
		return
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	if l.random.IntN(3) == 0 {
		l.pauseInStop(soakGrace / 2)
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-p.ended:
	case <-time.After(time.Until(began.Add(soakGrace + soakExitSlack))):
		l.s.report("%s has not ended in time after SIGTERM", p.name)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if p.err != nil {
		l.s.report("%s has ended with an error after SIGTERM: %v", p.name, p.err)
	}
}

// restart starts the successor of a process.
func (l *soakLives) restart(start func(name string) error) *process {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.s.started++
	name := fmt.Sprintf("%s-%d", l.process, l.s.started)
	if err := start(name); err != nil {
		l.s.found["cannot start "+name+": "+err.Error()] = true
		return nil
	}
	l.mark(time.Now())
	return l.s.f.processes[name]
}

// node stops a node and starts its successor on the same addresses until the run ends.
func (l *soakLives) node(p *process) {
	for l.live() {
		if l.random.IntN(3) == 0 {
			_ = p.command.Process.Signal(syscall.SIGHUP)
		}
		l.stop(p)
		l.pauseInStop(time.Second)
		p = l.restart(func(name string) error { return l.s.f.launch(name, p) })
		if p == nil {
			return
		}
	}
}

// backend stops a backend server and starts another one until the run ends.
func (l *soakLives) backend(p *process) {
	for l.live() {
		l.stop(p)
		l.pauseInStop(time.Second)
		p = l.restart(func(name string) error {
			if err := l.s.f.startStandin(name, l.s.backendArgs(l.name)...); err != nil {
				return err
			}
			l.s.backends = append(l.s.backends, l.s.f.processes[name])
			return nil
		})
		if p == nil {
			return
		}
	}
}

// killedSince reports whether the process was killed after the given time.
func (l *soakLives) killedSince(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.kills, func(kill time.Time) bool { return kill.After(at) })
}

// soakClient is a client of a node. It keeps its connection until that is closed.
type soakClient struct {
	s      *soak
	lives  *soakLives // of the node
	random *rand.Rand
	conn   net.Conn // nil if there is none
	reader *bufio.Reader
	count  int
}

// run sends one request after another until the run ends.
func (c *soakClient) run() {
	for time.Now().Before(c.s.end) {
		time.Sleep(time.Duration(c.random.IntN(100)) * time.Millisecond)
		if c.conn == nil {
			conn, err := net.Dial("tcp", c.s.f.nodes[c.lives.name].callers)
			if err != nil {
				continue // the node is down
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		if !c.request() {
			_ = c.conn.Close()
			c.conn = nil
		}
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// request sends a request of a random kind, reads its answer and reports whether the
// connection can be used again. Some clients leave in the middle.
func (c *soakClient) request() bool {
	c.count++
	r := &soakRequest{id: fmt.Sprintf("%s-%p-%d", c.lives.name, c, c.count), node: c.lives.name}
	query := url.Values{"id": {r.id}, "sleep": {strconv.Itoa(c.random.IntN(400))}}
	if c.random.IntN(32) == 0 {
		query.Set("sleep", strconv.Itoa(int(soakDrain.Milliseconds())+c.random.IntN(2*boundSlack+1)-boundSlack))
	}
	u := &uploading{conn: c.conn, chunked: c.random.IntN(2) == 0}
	method, path := "POST", "redeem"
	switch c.random.IntN(4) {
	case 0:
		method, path, r.repeatable, u.chunked = "GET", "balance/7", true, false
	case 1:
		r.body = uploadBody(1 + c.random.IntN(1000))
	case 2:
		r.body = uploadBody(c.size(60_000, 460_000))
	case 3:
		r.body = uploadBody(c.size(60_000, 460_000))
		size := c.size(1, 300_000)
		query.Set("size", strconv.Itoa(size))
		query.Set("early", strconv.Itoa(c.random.IntN(2*size)))
	}
	u.body, u.stops = r.body, len(r.body)
	u.first = min(len(r.body), c.size(1, 200_000))
	u.head = fmt.Sprintf("%s /balancedesk/%s?%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", method, path, query.Encode(), c.s.f.keys["k"])
	r.began = time.Now()
	_ = c.conn.SetDeadline(r.began.Add(stepTimeout))
	if c.random.IntN(20) == 0 {
		r.left = true
		time.AfterFunc(time.Duration(c.random.IntN(500))*time.Millisecond, func() { _ = u.conn.Close() })
		_ = u.send()
		_, _ = http.ReadResponse(c.reader, nil)
		c.record(r)
		return false
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if u.send() == nil {
			r.sent = time.Now()
		}
	}()
	keep := c.readAnswer(r)
	if r.status == 0 || !keep {
		_ = c.conn.SetWriteDeadline(time.Now().Add(soakGrace)) // an upload may go on behind its answer
	}
	<-sent
	r.ended = time.Now()
	r.killed = c.lives.killedSince(r.began)
	c.record(r)
	return keep && !r.sent.IsZero()
}

// size draws a size in bytes. Half of the sizes are around a bound of bodies, the others
// between low and high.
func (c *soakClient) size(low, high int) int {
	if c.random.IntN(2) == 0 {
		return low + c.random.IntN(high-low)
	}
	bounds := bodyBounds()
	return bounds[c.random.IntN(len(bounds))] + c.random.IntN(2*boundSlack+1) - boundSlack
}

func (c *soakClient) record(r *soakRequest) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.requests = append(c.s.requests, r)
}

// readAnswer reads the answer to a request and reports whether the connection can be used
// again.
func (c *soakClient) readAnswer(r *soakRequest) bool {
	response, err := http.ReadResponse(c.reader, nil)
	r.ended = time.Now()
	if err != nil {
		return false
	}
	r.status, r.outcome = response.StatusCode, response.Header.Get("Jackdaw-Outcome")
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close
}

// soakRun is what a backend server reports of a request.
type soakRun struct {
	node  string // beside the backend server
	URL   string
	Sum   uint32
	Whole bool
	Body  int
}

// judge compares what the clients and the backend servers have seen.
func (s *soak) judge() {
	runs := make(map[string][]soakRun)
	for _, p := range s.backends {
		node, _, _ := strings.Cut(strings.TrimPrefix(p.name, "backend-"), "-")
		for line := range strings.Lines(p.out.String()) {
			run := soakRun{node: node}
			if !strings.HasPrefix(line, `{"method"`) || json.Unmarshal([]byte(line), &run) != nil {
				continue
			}
			if u, err := url.Parse(run.URL); err == nil {
				runs[u.Query().Get("id")] = append(runs[u.Query().Get("id")], run)
			}
		}
	}
	for name, p := range s.f.processes {
		if out := p.out.String(); strings.Contains(out, "panic: ") {
			s.report("%s has a panic: %s", name, out[max(0, len(out)-2000):])
		}
	}
	results := make(map[string]int)
	for _, r := range s.requests {
		s.judgeRequest(r, runs[r.id])
		results[strings.TrimSpace(fmt.Sprint(r.status, " ", r.outcome))]++
	}
	s.f.t.Logf("%d requests by status: %v, %d processes started again", len(s.requests), results, s.started)
	if results["200"] == 0 {
		s.report("no request was answered with 200")
	}
}

// judgeRequest checks one request.
func (s *soak) judgeRequest(r *soakRequest, runs []soakRun) {
	for _, run := range runs {
		switch {
		case run.Body > len(r.body) || crc32.ChecksumIEEE(r.body[:run.Body]) != run.Sum:
			s.report("%s: ran with other bytes than sent: %d of %d", r.id, run.Body, len(r.body))
		case run.Whole && run.Body < len(r.body):
			s.report("%s: ran with a body that ended in order after %d of %d bytes", r.id, run.Body, len(r.body))
		}
	}
	if len(runs) > 1 && !r.repeatable {
		s.report("%s: ran %d times", r.id, len(runs))
	}
	if len(runs) > 0 && r.outcome == "not-run" && !r.repeatable {
		s.report("%s: ran and was refused as not run", r.id)
	}
	if len(runs) > 0 && r.status != http.StatusOK && !r.left && !s.disturbed(r, runs) {
		s.report("%s: answered %d %s after %v, and it ran while nobody disturbed it", r.id, r.status, r.outcome, r.ended.Sub(r.began).Round(time.Millisecond))
	}
	late := r.ended.Sub(r.sent) > soakLossSlack
	if r.status == 0 && !r.sent.IsZero() && !r.killed && (late || len(runs) > 0) {
		s.report("%s: no answer %v after it was sent, runs: %d", r.id, r.ended.Sub(r.sent).Round(time.Millisecond), len(runs))
	}
}

// disturbed reports whether a process that has taken part in a request was stopped or started
// again meanwhile.
func (s *soak) disturbed(r *soakRequest, runs []soakRun) bool {
	if s.lives[r.node].disturbed(r.began, r.ended) {
		return true
	}
	return slices.ContainsFunc(runs, func(run soakRun) bool {
		return s.lives[run.node].disturbed(r.began, r.ended) || s.lives["backend-"+run.node].disturbed(r.began, r.ended)
	})
}
