package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// stableWindow is stableWindowMs of the settings.
	stableWindow = 3 * time.Second
	// restartDelay is the time from the end of a process to the start of the next one.
	restartDelay = 500 * time.Millisecond
	// graceTime is gracePeriodS of the settings.
	graceTime = 6 * time.Second
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Errorf("create the record: %w", err)
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// line writes one line with the seconds since the start.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// machine is a machine with a node and an upstream.
type machine struct {
	fleet   *fleet
	name    string
	zone    string
	service string
	ip      string
	up      *upstream

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{} // closed when the process has ended
	starts    int
	disturbed time.Time // time of the last start, kill or SIGTERM
	stopping  bool
}

// ports are the same on all machines.
type ports struct{ inbound, outbound, ready, control, app, first, last int }

// fleet is a small deployment: a store, and machines in zones.
type fleet struct {
	record   *recorder
	dir      string // temporary folder with the logs of the nodes
	command  []string
	env      map[string]string // templates of the deploy file
	ports    ports
	store    *store
	address  string // of the store
	zones    []string
	machines []*machine
	work     work // of the upstreams
	closing  atomic.Bool
}

// newFleet reads the deploy file, picks free ports and starts the store.
func newFleet(record *recorder, zones []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "drive3-")
	if err != nil {
		return nil, errors.Errorf("create a temporary folder: %w", err)
	}
	f := &fleet{record: record, dir: dir, zones: zones}
	if f.command, f.env, err = readDeployFile("deploy/system.toml"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Errorf("listen for the store: %w", err)
	}
	f.address = l.Addr().String()
	f.store = startStore(l)
	return f, nil
}

var assignment = regexp.MustCompile(`^([A-Za-z0-9_]+)\s*=\s*"(.*)"$`)

// readDeployFile returns the command of the role and the templates of its variables.
func readDeployFile(path string) (command []string, env map[string]string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Errorf("read the deploy file: %w", err)
	}
	env = make(map[string]string)
	table := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = line
			continue
		}
		m := assignment.FindStringSubmatch(line)
		switch {
		case m == nil:
		case table == "[roles.node]" && m[1] == "run":
			command = strings.Fields(m[2])
		case table == "[roles.node.env]":
			env[m[1]] = m[2]
		}
	}
	if len(command) == 0 || len(env) == 0 {
		return nil, nil, errors.New("the deploy file has no command or no variables")
	}
	return command, env, nil
}

// addMachine adds a machine. Each has a loopback address of its own.
func (f *fleet) addMachine(name, zone, service string) *machine {
	n := len(f.machines) + 1
	m := &machine{fleet: f, name: name, zone: zone, service: service, ip: fmt.Sprintf("127.73.%d.%d", os.Getpid()%250+1, n)}
	f.machines = append(f.machines, m)
	return m
}

// pickPorts picks ports that are free at the addresses of all machines.
func (f *fleet) pickPorts() error {
	for base := 21000 + os.Getpid()%1000*30; base < 60000; base += 30 {
		p := ports{inbound: base, outbound: base + 1, ready: base + 2, control: base + 3, app: base + 4, first: base + 5, last: base + 20}
		if f.free(p) {
			f.ports = p
			return nil
		}
	}
	return errors.New("no free ports")
}

func (f *fleet) free(p ports) bool {
	for _, m := range f.machines {
		for _, port := range []int{p.inbound, p.outbound, p.ready, p.control, p.app, p.first, p.last} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// fill fills a template of the deploy file for a machine.
func (f *fleet) fill(m *machine, template string) string {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	values := map[string]string{
		"node": m.name, "zone": m.zone, "service": m.service, "ip": m.ip, "platform.address": f.address,
		"listen.outbound": at(f.ports.outbound), "listen.inbound": at(f.ports.inbound), "listen.ready": at(f.ports.ready),
		"listen.control": at(f.ports.control), "portRange.0": strconv.Itoa(f.ports.first), "portRange.1": strconv.Itoa(f.ports.last),
		"bounds.configApplyMs": "2000", "bounds.drainPeriodMs": "2000", "bounds.gracePeriodS": "6",
		"bootstrap": strconv.FormatBool(m.starts == 0),
	}
	template = strings.ReplaceAll(template, "{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(f.zones, ","))
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

// start starts the node of a machine.
func (m *machine) start() error {
	f := m.fleet
	m.mu.Lock()
	defer m.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Errorf("open a log: %w", err)
	}
	defer logFile.Close() //nolint:errcheck // the process has its own descriptor
	c := exec.Command(f.command[0], f.command[1:]...)
	c.Stdout, c.Stderr = logFile, logFile
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "JACKDAWBRIDGE_CONFIG=/etc/jackdawbridge/boot.json"}
	for name, template := range f.env {
		value := f.fill(m, template)
		if strings.Contains(value, "{{") {
			return errors.Errorf("the deploy file has a template that is not known: %s", value)
		}
		c.Env = append(c.Env, name+"="+value)
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return errors.Errorf("start a node: %w", err)
	}
	m.process, m.exited, m.disturbed, m.stopping = c, make(chan struct{}), time.Now(), false
	m.starts++
	f.record.line("node %s started", m.name)
	go m.await(c, m.exited)
	return nil
}

// await waits for the end of a process and starts the next one.
func (m *machine) await(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	m.mu.Lock()
	m.disturbed = time.Now()
	closing := m.fleet.closing.Load()
	m.mu.Unlock()
	close(exited)
	if closing {
		return
	}
	m.fleet.record.line("node %s ended: %v", m.name, err)
	time.Sleep(restartDelay)
	if m.fleet.closing.Load() {
		return
	}
	if err := m.start(); err != nil {
		m.fleet.record.say("node %s not restarted: %v", m.name, err)
	}
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = time.Now()
	m.fleet.record.line("node %s gets %s", m.name, s)
	_ = m.process.Process.Signal(s) // it may have ended
}

// term stops the node in order, and kills it after the grace period.
func (m *machine) term() {
	m.mu.Lock()
	exited, process := m.exited, m.process.Process
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			m.fleet.record.line("node %s killed after the grace period", m.name)
			_ = process.Kill()
		}
	}()
}

// inTouch reports whether the processes of the machine ran undisturbed for stableWindow.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbed) > stableWindow
}

// ready reports whether the node says that it is ready.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get(fmt.Sprintf("http://%s:%d/jackdawbridge/readyz", m.ip, m.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until all nodes are ready.
func (f *fleet) startAll() error {
	if err := f.pickPorts(); err != nil {
		return err
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
		m.up = newUpstream(m)
		if err := m.up.begin(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		all := true
		for _, m := range f.machines {
			all = all && m.ready()
		}
		if all {
			f.record.line("all nodes are ready")
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the nodes are not ready after 20 s")
		}
	}
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.mu.Lock()
		f.closing.Store(true)
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range f.machines {
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// route is a route of the configuration.
type route struct {
	host, prefix, kind, service string
	attempts, timeoutMs         int
	public                      bool
	priority                    int
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(version int, routes []route, keys map[string][]string) {
	type object = map[string]any
	var tenants, listeners []object
	for name, list := range keys {
		tenants = append(tenants, object{"name": name, "apiKeys": list, "priority": 1, "ratePerS": 0, "burst": 0})
	}
	hosts := make(map[string][]object)
	services := make(map[string]bool)
	for i, r := range routes {
		hosts[r.host] = append(hosts[r.host], object{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "sloMs": 1500, "priority": r.priority, "public": r.public,
			"match":  object{"prefix": r.prefix},
			"action": object{"service": r.service, "timeoutMs": r.timeoutMs, "attempts": r.attempts},
		})
		services[r.service] = true
	}
	for host, rules := range hosts {
		listeners = append(listeners, object{"host": host, "rules": rules})
	}
	var clusters []object
	for name := range services {
		clusters = append(clusters, object{"name": name, "healthPath": "/healthz"})
	}
	data, err := json.Marshal(object{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":   tenants,
		"listeners": listeners,
		"clusters":  clusters,
	})
	if err != nil {
		panic(err) // the values are plain
	}
	f.store.put("op/config", data)
	f.record.line("configuration %08x is written", version)
}
