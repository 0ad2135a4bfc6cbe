package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// patience bounds each wait of the process tests. It is far above what any
// step takes and ends a test only when something never happens.
const patience = 60 * time.Second

// pollInterval is the time between two looks at what a test waits for.
const pollInterval = 50 * time.Millisecond

// buildPrograms builds the programs that the tests start.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	command := exec.Command("go", "build", "-o", dir, "../jackdawbridge", "../standin")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// process is a program that a test started.
type process struct {
	name    string
	command *exec.Cmd
	out     lockedBuffer // standard output and error
	ended   chan struct{}
	err     error // after ended
}

// lockedBuffer is a buffer that a process writes and a test reads.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write adds to the buffer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// member is the addresses of a node.
type member struct {
	dc                                          string
	callers, peers, gossip, rpc, backend, admin string
}

// addresses is the number of addresses that the tests of this process have
// used, at most 254.
var addresses int

// fleet is the processes of one script.
type fleet struct {
	t         *testing.T
	bin       string
	platform  string
	members   map[string]*member
	processes map[string]*process
	keys      map[string]string // by the script's name
	load      *load
}

func newFleet(t *testing.T, bin string) *fleet {
	f := &fleet{
		t: t, bin: bin, members: make(map[string]*member),
		processes: make(map[string]*process), keys: make(map[string]string),
	}
	t.Cleanup(f.close)
	return f
}

// close kills what the test started.
func (f *fleet) close() {
	for _, p := range f.processes {
		_ = p.command.Process.Kill()
		<-p.ended
		if f.t.Failed() {
			out := p.out.String()
			f.t.Logf("== %s\n%s", p.name, out[max(0, len(out)-4000):])
		}
	}
}

// freeAddress returns an address for a listener. Each has its own IP address of
// the loopback network: on 127.0.0.1 an outgoing connection may take the port
// before the program listens. The process id keeps test runs apart.
func (f *fleet) freeAddress() string {
	addresses++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:7000", 64+pid%128, pid/128%256, addresses)
}

// start starts a program in the background.
func (f *fleet) start(name, program string, args ...string) error {
	p := &process{name: name, command: exec.Command(filepath.Join(f.bin, program), args...), ended: make(chan struct{})}
	p.command.Stdout = &p.out
	p.command.Stderr = &p.out
	if err := p.command.Start(); err != nil {
		return errors.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	f.processes[name] = p
	return nil
}

// signal sends a signal to a process and waits for its end.
func (f *fleet) signal(name string, signal syscall.Signal) (string, error) {
	p, ok := f.processes[name]
	if !ok {
		return "", errors.Errorf("no process %s", name)
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return "", errors.Errorf("signal %s: %w", name, err)
	}
	select {
	case <-p.ended:
	case <-time.After(patience):
		return "", errors.Errorf("%s did not end", name)
	}
	if signal == syscall.SIGKILL {
		return "", nil
	}
	return fmt.Sprintf("error: %v", p.err), nil
}

// run runs a program to its end and returns what it wrote.
func (f *fleet) run(input, program string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(f.bin, program), args...)
	command.Stdin = strings.NewReader(input)
	out, err := command.CombinedOutput()
	return string(out), err
}

// poll repeats a look until it succeeds.
func (f *fleet) poll(what string, look func() (string, bool)) (string, error) {
	deadline := time.Now().Add(patience)
	for {
		seen, ok := look()
		if ok {
			return seen, nil
		}
		if time.Now().After(deadline) {
			return "", errors.Errorf("%s: still %s", what, seen)
		}
		time.Sleep(pollInterval)
	}
}

// startNode starts a node that joins all others.
func (f *fleet) startNode(name, dc string, flags ...string) error {
	m := &member{
		dc: dc, callers: f.freeAddress(), peers: f.freeAddress(), gossip: f.freeAddress(),
		rpc: f.freeAddress(), backend: f.freeAddress(), admin: f.freeAddress(),
	}
	args := []string{
		"node", "--platform", f.platform, "--instance", name, "--data-centre", dc, "--callers", m.callers,
		"--peers", m.peers, "--gossip", m.gossip, "--rpc", m.rpc, "--backend", m.backend, "--admin", m.admin,
		"--secret", "0123456789abcdef0123456789abcdef", "--linger", "1s",
	}
	for _, other := range f.members {
		args = append(args, "--join", other.gossip)
	}
	f.members[name] = m
	return f.start(name, "jackdawbridge", append(args, flags...)...)
}

// answer is what a caller sees of a call.
type answer struct {
	status  int
	outcome string
	reason  string
	request string
	broken  bool
	err     error
}

// String returns the answer as scripts show it.
func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer"
	case a.broken:
		return fmt.Sprintf("%d broken", a.status)
	case a.outcome != "":
		return fmt.Sprintf("%d %s: %s", a.status, a.outcome, a.reason)
	}
	return fmt.Sprint(a.status)
}

// call sends a call as a caller does and reads the whole answer.
func call(client *http.Client, method, address, path, key string, body io.Reader) answer {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, body)
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	got, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = got.Body.Close() }()
	_, err = io.Copy(io.Discard, got.Body)
	return answer{
		status: got.StatusCode, outcome: got.Header.Get("Jackdaw-Outcome"), reason: got.Header.Get("Jackdaw-Reason"),
		request: got.Header.Get("Jackdaw-Request"), broken: err != nil,
	}
}

// load sends calls to a node on a few connections until it is stopped.
type load struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	ends  map[string]int
}

// loadGap is the pause of each of the 8 clients of a load between two calls. It
// keeps the load at 400 calls a second, inside the share of 1000 that one data
// centre has of the account.
const loadGap = 20 * time.Millisecond

// startLoad starts callers that send one call after another. A caller ends when
// its node refuses connections, since it is told to use another node.
func (f *fleet) startLoad(address, path, key string) {
	l := &load{stop: make(chan struct{}), ends: make(map[string]int)}
	f.load = l
	for range 8 {
		l.group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				time.Sleep(loadGap)
				a := call(client, http.MethodGet, address, path, key, nil)
				l.mu.Lock()
				l.ends[endOf(a)]++
				l.mu.Unlock()
				if a.err != nil {
					return
				}
			}
		})
	}
}

// endOf names the end of a call under load. A refused connection is no cut.
func endOf(a answer) string {
	if errors.Is(a.err, syscall.ECONNREFUSED) {
		return "connection refused"
	}
	if a.err != nil {
		return "cut: " + a.err.Error()
	}
	return a.String()
}

func (l *load) count(end string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends[end]
}
