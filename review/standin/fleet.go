//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment, in the values of its pages.
const (
	drainPeriod  = 2 * time.Second
	stableWindow = 3 * time.Second
	grace        = 6 * time.Second
	apply        = 2 * time.Second
	heartbeat    = 1500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// fleet is the nodes of a case with the stand-in of the platform.
type fleet struct {
	trouble  bool
	started  time.Time
	folder   string // temporary, for the logs of the processes
	platform string // address
	zones    []string

	mu        sync.Mutex
	out       io.Writer
	processes []*exec.Cmd
	nodes     []*node
}

// node is a node process on one machine, with its addresses.
type node struct {
	fleet     *fleet
	name      string
	zone      string
	service   string
	addresses map[string]string
	process   *exec.Cmd
	starts    int
	since     time.Time // of the last start
}

// newFleet starts the platform.
func newFleet(out io.Writer, trouble bool) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{out: out, trouble: trouble, started: time.Now(), folder: folder}
	f.record("trouble: %t", trouble)
	if f.platform, err = freeAddress(); err != nil {
		return nil, err
	}
	_, err = f.start("platform", nil, "target/standin", "platform", "--listen", f.platform)
	return f, err
}

// record writes a line with the time since the start.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.out, "%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// start starts a process with its output in a file of its own.
func (f *fleet) start(name string, env []string, command ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	process := exec.Command(command[0], command[1:]...)
	process.Env = slices.Concat(env, []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")})
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, process)
	return process, nil
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, process := range f.processes {
		_ = process.Process.Kill()
		_, _ = process.Process.Wait() // fails if the process has been waited for
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// lastPort is the port that was last given out. The ports lie below those that systems
// give to outgoing connections, so that none of these takes one while a process is down.
var lastPort = 12000 + rand.IntN(8000)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	for range 10000 {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", lastPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// add adds a machine in the first zone and starts its node.
func (f *fleet) add(name, service string) (*node, error) {
	n := &node{fleet: f, name: name, zone: f.zones[0], service: service, addresses: make(map[string]string)}
	for _, use := range []string{"callers", "peers", "admin", "metrics", "backend", "gossip", "server"} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		n.addresses[use] = address
	}
	f.nodes = append(f.nodes, n)
	return n, n.run()
}

// run starts the node's process with the settings of the deploy file.
func (n *node) run() error {
	env := []string{
		"JACKDAW_DIALECT=platform", "JACKDAW_INSTANCE=" + n.name, "JACKDAW_DATA_CENTRE=" + n.zone,
		"JACKDAW_DATA_CENTRES=" + strings.Join(n.fleet.zones, ","), "JACKDAW_SERVICE=" + n.service,
		"JACKDAW_PLATFORM=" + n.fleet.platform, "JACKDAW_CALLERS=" + n.addresses["callers"],
		"JACKDAW_PEERS=" + n.addresses["peers"], "JACKDAW_ADMIN=" + n.addresses["admin"],
		"JACKDAW_METRICS=" + n.addresses["metrics"], "JACKDAW_BACKEND=" + n.addresses["backend"],
		"JACKDAW_GOSSIP=" + n.addresses["gossip"], "JACKDAW_RPC=" + n.addresses["gossip"],
		"JACKDAW_SECRET=replace-this-fleet-secret-by-your-own", "JACKDAW_IDLE=15s", "JACKDAW_BACKEND_IDLE=4s",
		"JACKDAW_APPLY_LIMIT=" + apply.String(), "JACKDAW_CONFIRM=1500ms", "JACKDAW_LIMITER=slots",
		"JACKDAW_RETRY_PERMILLE=100", "JACKDAW_RETRY_BURST=2", "JACKDAW_FLOORS=true",
		"JACKDAW_DRAIN_PERIOD=" + drainPeriod.String(), "JACKDAW_GRACE_PERIOD=" + grace.String(), "JACKDAW_LINGER=3s",
		fmt.Sprintf("JACKDAW_FIRST_START=%t", n.starts == 0), "GOGC=50",
	}
	process, err := n.fleet.start(fmt.Sprintf("%s-%d", n.name, n.starts), env, "target/jackdawbridge", "node")
	if err != nil {
		return err
	}
	n.process, n.since = process, time.Now()
	n.starts++
	n.fleet.record("%s: process %d of the node started", n.name, n.starts)
	return nil
}

// kill kills the node's process and starts it again after a short delay.
func (n *node) kill() error {
	n.fleet.record("%s: process %d of the node killed", n.name, n.starts)
	if err := n.process.Process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = n.process.Wait()
	time.Sleep(restartDelay)
	return n.run()
}

// awaitReady waits until all nodes are ready, and then until all are in touch.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(30 * time.Second)
	for _, n := range f.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record("all nodes are ready")
	time.Sleep(stableWindow + time.Second)
	return nil
}

func (n *node) ready() bool {
	response, err := http.Get("http://" + n.addresses["admin"] + "/jackdawbridge/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// route is a route of the configuration.
type route struct {
	host, prefix, kind, service string
	priority                    int
}

const credential = "6wsjnbanfqasnmgkcuyj"

// configure writes the operator's configuration to the platform.
func (f *fleet) configure(routes ...route) error {
	var listeners, clusters []any
	for _, r := range routes {
		listeners = append(listeners, map[string]any{"host": r.host, "rules": []any{map[string]any{
			"name": "r-" + r.service, "kind": r.kind, "sloMs": 1500, "priority": r.priority, "public": false,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutMs": 9000, "attempts": 2},
		}}})
		clusters = append(clusters, map[string]any{"name": r.service, "healthPath": "/healthz", "maxConns": 600, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(map[string]any{
		"version":   "00000007",
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":   []any{map[string]any{"name": "pulo780", "apiKeys": []string{credential}, "priority": 1, "ratePerS": 500, "burst": 500}},
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		return err
	}
	for range 100 {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.platform+"/operator/op/config", bytes.NewReader(data))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.record("configuration acknowledged")
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the platform does not answer")
}
