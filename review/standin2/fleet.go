package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawbridge/jackdawbridge/standin"
)

const (
	// deployFile holds the command and the settings of a node.
	deployFile = "deploy/system.toml"
	// limit bounds the time of a script.
	limit = 110 * time.Second
	// readyLimit bounds the time until all nodes are ready.
	readyLimit = 30 * time.Second
	// settleTime is how long nodes that are ready are left alone to find each other.
	settleTime = 3 * time.Second

	zoneA = "fes-a"
	zoneB = "marrakech-b"

	balance = "balancedesk" // service
	logs    = "logyard"     // service
)

// The range of ports for the nodes. It is below the ports that the kernel gives to outgoing
// connections.
const (
	lowestPort  = 15000
	highestPort = 30000
)

// fleet is a small deployment on loopback addresses: the platform's store, machines with a node
// and a backend server each, and a record of what happened.
type fleet struct {
	record   *record
	store    *standin.Platform
	server   *httptest.Server // of the store
	machines []*machine
	ip       string            // loopback address of the nodes, so that fleets that run at once share no ports
	port     int               // last one that was given to a node
	work     string            // temporary folder for the output of the nodes
	command  []string          // of a node, from the deploy file
	env      map[string]string // of a node, from the deploy file
	slots    int               // of the backend servers, 0 for the usual number
	once     sync.Once
}

// newFleet starts the store. The folder receives record.txt.
func newFleet(folder string) (*fleet, error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, store: standin.NewPlatform(), work: work, ip: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(254), rand.IntN(255)), port: lowestPort}
	f.server = httptest.NewServer(f.store)
	if err := f.readDeployFile(); err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, limit)
	context.AfterFunc(ctx, func() {
		f.record.line("the case took too long or was stopped")
		f.close()
		cancel()
		stop()
		os.Exit(exitNotRun)
	})
	return f, nil
}

// settingLine matches a setting of the deploy file.
var settingLine = regexp.MustCompile(`^([A-Za-z_]+) = "(.*)"$`)

// readDeployFile reads the command and the settings of a node.
func (f *fleet) readDeployFile() error {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return err
	}
	f.env = make(map[string]string)
	table := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = line
			continue
		}
		m := settingLine.FindStringSubmatch(line)
		switch {
		case m == nil:
		case table == "[roles.node]" && m[1] == "run":
			f.command = strings.Fields(m[2])
		case table == "[roles.node.env]":
			f.env[m[1]] = m[2]
		}
	}
	if len(f.command) == 0 || len(f.env) == 0 {
		return errors.New("the deploy file has no command or no settings of a node")
	}
	return nil
}

// start starts two machines in each of two zones, one of each service, with the given
// configuration, and waits until they are ready.
func (f *fleet) start(c configuration, serve handler) error {
	if err := f.putConfig(c); err != nil {
		return err
	}
	for _, zone := range []string{zoneA, zoneB} {
		for _, service := range []string{balance, logs} {
			if err := f.addMachine(zone, service, serve); err != nil {
				return err
			}
		}
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
		m.app.beat()
	}
	deadline := time.Now().Add(readyLimit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				f.record.line("node %s: is not ready; the end of its output:\n%s", m.name, m.outputEnd())
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// machineOf returns the machine of a service in a zone.
func (f *fleet) machineOf(zone, service string) *machine {
	for _, m := range f.machines {
		if m.zone == zone && m.service == service {
			return m
		}
	}
	panic("no machine of " + service + " in " + zone)
}

func (f *fleet) addMachine(zone, service string, serve handler) error {
	m := &machine{fleet: f, zone: zone, service: service}
	m.name = fmt.Sprintf("sidecar-%s-%d", zone, len(f.machines)+1)
	for _, address := range []*string{&m.callers, &m.peers, &m.admin, &m.control, &m.gossip, &m.metrics} {
		free, err := f.freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	app, err := newBackend(m, serve)
	if err != nil {
		return err
	}
	if f.slots > 0 {
		app.slots = f.slots
	}
	m.app = app
	f.machines = append(f.machines, m)
	return nil
}

// freeAddress returns an address on the fleet's loopback IP address that is free for TCP and UDP,
// and no earlier one.
func (f *fleet) freeAddress() (string, error) {
	for f.port < highestPort {
		f.port++
		address := f.ip + ":" + strconv.Itoa(f.port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = p.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// putConfig writes a configuration as the operator does.
func (f *fleet) putConfig(c configuration) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := f.callStore(http.MethodPut, "/operator/op/config", data); err != nil {
		return err
	}
	f.record.line("operator: the store has acknowledged version %s: %s", c.Version, data)
	return nil
}

// setStoreDown begins or ends an outage of the store.
func (f *fleet) setStoreDown(down bool) error {
	f.record.line("store: down: %v", down)
	return f.callStore(http.MethodPut, "/control", fmt.Appendf(nil, `{"down":%v}`, down))
}

// beginOutageWithLapse begins an outage of the store in which all leases run out.
func (f *fleet) beginOutageWithLapse() error {
	leased, err := f.leasedKeys()
	if err != nil {
		return err
	}
	if err := f.setStoreDown(true); err != nil {
		return err
	}
	for _, key := range leased {
		f.record.line("store: the lease of %s runs out", key)
		if err := f.callStore(http.MethodDelete, "/operator/"+key, nil); err != nil {
			return err
		}
	}
	return nil
}

// leasedKeys returns the keys of all items that hang on a lease.
func (f *fleet) leasedKeys() ([]string, error) {
	var keys []string
	for after := ""; ; {
		response, err := http.Get(f.server.URL + "/jackdawbridge/kv-range?prefix=&after=" + url.QueryEscape(after))
		if err != nil {
			return nil, err
		}
		var page struct {
			Items []struct {
				Key   string `json:"key"`
				Lease uint64 `json:"lease"`
			} `json:"items"`
			More bool `json:"hasMore"`
		}
		err = json.NewDecoder(response.Body).Decode(&page)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			after = item.Key
			if item.Lease != 0 {
				keys = append(keys, item.Key)
			}
		}
		if !page.More {
			return keys, nil
		}
	}
}

// callStore makes a call to the control pages of the store's stand-in.
func (f *fleet) callStore(method, path string, body []byte) error {
	request, err := http.NewRequestWithContext(context.Background(), method, f.server.URL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: the store's stand-in answered %s", method, path, response.Status)
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	f.once.Do(func() {
		for _, m := range f.machines {
			m.kill()
			m.app.close()
		}
		f.server.CloseClientConnections()
		f.store.Close()
		_ = os.RemoveAll(f.work)
		f.record.close()
	})
}

// machine is a node with its backend server.
type machine struct {
	fleet   *fleet
	name    string
	zone    string
	service string

	callers, peers, admin, control, gossip, metrics string // addresses of the node

	app *backend

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	starts  int
}

// settings returns the settings of a node as the platform would fill them in.
func (m *machine) settings(first bool) []string {
	values := map[string]string{
		"node": m.name, "zone": m.zone, "service": m.service, "platform.address": m.fleet.server.Listener.Addr().String(),
		"listen.outbound": m.callers, "listen.inbound": m.peers, "listen.ready": m.admin, "listen.control": m.control,
		"bootstrap": strconv.FormatBool(first), "bounds.configApplyMs": "2000", "bounds.drainPeriodMs": "2000", "bounds.gracePeriodS": "6",
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	for name, text := range m.fleet.env {
		text = strings.ReplaceAll(text, "{{#zones}}{{@}}{{,}}{{/zones}}", zoneA+","+zoneB)
		text = strings.ReplaceAll(text, "{{ip}}:{{portRange.0}}", m.gossip)
		text = strings.ReplaceAll(text, "{{ip}}:{{portRange.1}}", m.metrics)
		for key, value := range values {
			text = strings.ReplaceAll(text, "{{"+key+"}}", value)
		}
		env = append(env, name+"="+text)
	}
	return env
}

// start starts the node's process.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(m.fleet.work, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close() //nolint:errcheck // the process has its own descriptor
	cmd := exec.Command(m.fleet.command[0], m.fleet.command[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = m.settings(m.starts == 0), output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	m.starts++
	ended := make(chan struct{})
	m.process, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // its end is what is waited for
		close(ended)
	}()
	m.fleet.record.line("node %s: started", m.name)
	return nil
}

// outputEnd returns the last part of what the node has written.
func (m *machine) outputEnd() []byte {
	data, err := os.ReadFile(filepath.Join(m.fleet.work, m.name+".log"))
	if err != nil {
		return nil
	}
	return data[max(0, len(data)-4096):]
}

// kill ends the node's process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill() // fails only if it has ended
	<-m.ended
	m.process = nil
	m.fleet.record.line("node %s: killed", m.name)
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s) // fails only if it has ended
	m.fleet.record.line("node %s: gets signal %v", m.name, s)
}

// ready reports whether the node says that it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.admin + "/jackdawbridge/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
