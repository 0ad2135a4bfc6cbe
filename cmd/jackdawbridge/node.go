package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"regexp"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/limiter"
	"github.com/jackdawbridge/jackdawbridge/link"
	"github.com/jackdawbridge/jackdawbridge/native"
	"github.com/jackdawbridge/jackdawbridge/node"
	"github.com/jackdawbridge/jackdawbridge/picker"
	"github.com/jackdawbridge/jackdawbridge/platform"
	"github.com/jackdawbridge/jackdawbridge/queue"
	"github.com/jackdawbridge/jackdawbridge/reducer"
	gometrics "github.com/rcrowley/go-metrics"
)

// queueSize is the maximum number of requests that wait for a slot of the backend
// server.
const queueSize = 1024

// minSecretBytes is the minimum length of a fleet secret.
const minSecretBytes = 16

const (
	// drainPercent is the percentage of the drain period during which requests are
	// still sent to a draining backend server. The rest of the period is left for
	// requests that are already on their way.
	drainPercent = 67
	// slotsPercent is the percentage of the announced slots that is used. A backend
	// server slows down when nearly all of its slots are occupied.
	slotsPercent = 95
	// gracePercent is the percentage of the grace period after which a stopping
	// node exits. It must exit before the process is killed at the end of the grace
	// period.
	gracePercent = 90
)

// nodeCommand runs the node of one backend server.
type nodeCommand struct {
	platformFlags
	Instance   string   `required:"" help:"Name of the instance."`
	DataCentre string   `required:"" help:"Name of the data centre."`
	Callers    string   `required:"" help:"Address of the listener for callers, IP:PORT."`
	Peers      string   `required:"" help:"Address of the listener for requests that peers forward, IP:PORT."`
	Gossip     string   `required:"" help:"Address of the UDP socket for gossip of peers, IP:PORT."`
	RPC        string   `required:"" name:"rpc" help:"Address of the listener for large messages of peers, IP:PORT."`
	Backend    string   `required:"" help:"Address of the listener for this node's backend server, IP:PORT. The IP address is a loopback address or that of --peers."`
	Admin      string   `required:"" help:"Address of the listener for operators, IP:PORT. The IP address is a loopback address or that of --peers."`
	Metrics    string   `help:"Address of the listener for metrics collectors, IP:PORT. Without it, only the listener for operators serves metrics."`
	Secret     []string `required:"" help:"Secrets shared by the fleet. The first one signs messages; all are accepted when messages are verified."`
	Join       []string `help:"Gossip addresses of nodes to contact first when joining the fleet, IP:PORT."`

	Dialect     string   `default:"native" enum:"native,platform" help:"Protocol spoken with callers and backend servers: native or platform."`
	Service     string   `help:"Service of the backend server. Used with --dialect=platform."`
	DataCentres []string `help:"Data centres among which the rates of client accounts are divided. Used with --dialect=platform."`

	DefaultTimeout time.Duration `default:"5s" help:"Timeout of a call that sets none."`
	MaxTimeout     time.Duration `default:"1m" help:"Maximum timeout of a call."`
	HeaderBytes    int           `default:"32768" help:"Maximum size of a request header in bytes."`
	HeaderTime     time.Duration `default:"5s" help:"Timeout for reading a request header."`
	BodyBytes      int64         `default:"268435456" help:"Maximum size of a request body in bytes."`
	BodyRate       int64         `default:"16384" help:"Minimum rate at which a body must arrive, in bytes per second."`
	BodyGrace      time.Duration `default:"5s" help:"Time before the minimum rate of a body is enforced."`
	ReadBytes      int64         `default:"25165824" help:"Maximum memory in bytes for requests that are read and not yet answered. Above it, requests whose clients have stopped sending are refused, the oldest first. One request alone always fits."`
	MaxConns       int           `default:"4096" help:"Maximum number of connections of each listener."`
	Idle           time.Duration `default:"2m" help:"Idle timeout of connections to the listeners."`
	Heartbeat      time.Duration `default:"3s" help:"Time without an announcement after which the backend server is considered lost."`
	BackendIdle    time.Duration `default:"30s" help:"Idle timeout of connections to the backend server."`
	DrainPeriod    time.Duration `default:"3s" help:"Time after the start of draining by which a backend server receives no more requests."`
	GracePeriod    time.Duration `default:"30s" help:"Time within which a stopping node exits, even if requests are unfinished."`
	ApplyLimit     time.Duration `default:"10s" help:"Time within which a change of the tables is in force at each node that reaches the platform or its peers."`
	Confirm        time.Duration `default:"30s" help:"Interval at which the tables are read in full, even if the platform reports no change."`
	Limiter        string        `default:"adaptive" enum:"adaptive,slots" help:"How the concurrency of the backend server is limited: adaptive, by its latency, or slots, by the slots that it announces."`
	RetryPermille  int           `default:"200" help:"Retry budget: retries to another backend server for each thousand calls of a service."`
	RetryBurst     int           `default:"10" help:"Maximum number of unused retries of a service that a node accumulates."`
	Floors         bool          `help:"Allow nodes to use a part of an account's rate while no home node of their data centre answers."`
	FirstStart     bool          `help:"The whole fleet starts for the first time, so that no departure of a backend server can be on record."`
	Linger         time.Duration `default:"2s" help:"Minimum time between the request to stop and the closing of the listeners."`
	LogFormat      string        `default:"json" enum:"json,text" help:"Format of log lines on standard output: json, which the explain command reads, or text."`
	LogLevel       string        `default:"info" enum:"debug,info,warn,error" help:"Minimum level of log lines: debug, info, warn or error."`
}

// Run runs the node until it has stopped after SIGTERM or SIGINT.
func (c *nodeCommand) Run() error {
	limitMemory()
	addresses, self, err := c.identity()
	if err != nil {
		return err
	}
	limits, err := c.limits()
	if err != nil {
		return err
	}
	joins, err := c.joins()
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return flagError("log-level", c.LogLevel, "debug, info, warn or error")
	}
	output := node.NewOutput(os.Stdout)
	defer output.Close() //nolint:errcheck // the error could only be logged to the same output
	logger := slog.New(c.logHandler(output, level)).With("instance", c.Instance)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return c.serve(ctx, self, joins, addresses, limits, logger)
}

// logHandler returns the handler that formats log lines according to --log-format.
func (c *nodeCommand) logHandler(w io.Writer, level slog.Level) slog.Handler {
	options := &slog.HandlerOptions{Level: level}
	if c.LogFormat == "text" {
		return slog.NewTextHandler(w, options)
	}
	return slog.NewJSONHandler(w, options)
}

// serve builds the node from its components and starts it. When the context ends,
// serve stops the node and waits until it has stopped.
func (c *nodeCommand) serve(ctx context.Context, self jackdawbridge.Peer, joins []jackdawbridge.Peer, addresses node.Addresses, limits node.Limits, logger *slog.Logger) error {
	parts, err := newComponents(c.Platform, c.Secret)
	if err != nil {
		return err
	}
	dialect, err := c.newDialect(&parts)
	if err != nil {
		return err
	}
	self = jackdawbridge.NewPeer(jackdawbridge.NewNode(self.Node().Instance(), uint64(parts.clock.Now())), self.DataCentre(), self.Addresses())
	var seed [32]byte
	_, _ = rand.Read(seed[:]) // never fails, see crypto/rand
	options := reducer.NewOptions(self, seed, picker.NewCompletion(), c.newLimiter(), queue.NewPriority(queueSize)).
		WithDrainPeriod(jackdawbridge.Millis((c.DrainPeriod * drainPercent / 100).Milliseconds())).
		WithApplyLimit(jackdawbridge.Millis(c.ApplyLimit.Milliseconds())).
		WithConfirmInterval(jackdawbridge.Millis(c.Confirm.Milliseconds())).
		WithRetryBudget(c.RetryPermille, c.RetryBurst).
		WithStopLimit(jackdawbridge.Millis((c.GracePeriod / 2).Milliseconds())).
		WithGracePeriod(jackdawbridge.Millis((c.GracePeriod * gracePercent / 100).Milliseconds()))
	if c.Floors {
		options = options.WithFloors()
	}
	if c.FirstStart {
		options = options.WithFirstStart()
	}
	nodeReducer, err := reducer.New(parts.clock.Now(), options.WithJoins(joins))
	if err != nil {
		return errors.Errorf("start node: %w", err)
	}
	registry := gometrics.NewRegistry()
	links := link.NewPool(parts.codec, parts.sealer, registry, logger)
	n, err := node.New(node.NewDependencies(nodeReducer, parts.tables, links, dialect, parts.clock, logger, registry), limits, addresses)
	if err != nil {
		return err
	}
	transport, err := parts.listenPeers(self.Addresses(), registry, logger, n.Receive, n.Status)
	if err != nil {
		n.Close()
		return err
	}
	peerListener, err := link.Listen(self.Addresses().Link(), parts.codec, parts.sealer, registry, logger)
	if err != nil {
		n.Close()
		return errors.Errorf("--peers=%s: %w", self.Addresses().Link(), errors.Join(err, transport.Close()))
	}
	if err := n.Start(transport, peerListener); err != nil {
		return err
	}
	context.AfterFunc(ctx, n.Stop)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go func() {
		for range hangup {
			logger.Info("node: SIGHUP ignored: flags and environment are read only at start")
		}
	}()
	n.Wait()
	return nil
}

// newLimiter returns the concurrency limiter selected by --limiter.
func (c *nodeCommand) newLimiter() jackdawbridge.Limiter {
	if c.Limiter == "slots" {
		return limiter.NewStaticPercent(1, slotsPercent)
	}
	return limiter.NewAdaptive(1)
}

// newDialect returns the dialect selected by --dialect. For the platform's dialect
// it also replaces parts.tables, so that the node derives its tables from the
// operators' configuration on the platform.
func (c *nodeCommand) newDialect(parts *components) (jackdawbridge.Dialect, error) {
	if c.Dialect == "native" {
		return native.New(c.DefaultTimeout, c.MaxTimeout), nil
	}
	var centres []jackdawbridge.DataCentre
	for _, name := range c.DataCentres {
		if !namePattern.MatchString(name) {
			return nil, flagError("data-centres", name, "a name of up to 64 lower-case letters, digits and hyphens")
		}
		centres = append(centres, jackdawbridge.DataCentre(name))
	}
	tables, err := platform.NewTables(parts.store, centres)
	if err != nil {
		return nil, errors.Errorf("--data-centres: %w", err)
	}
	dialect, err := platform.NewDialect(jackdawbridge.ServiceName(c.Service), c.DefaultTimeout, c.MaxTimeout)
	if err != nil {
		return nil, errors.Errorf("--service: %w", err)
	}
	parts.tables = tables
	return dialect, nil
}

// namePattern matches the names of instances and data centres.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)

// identity parses the flags that name the node and the addresses of its listeners.
// The returned peer has a placeholder incarnation, which serve replaces with the time
// of the start.
func (c *nodeCommand) identity() (node.Addresses, jackdawbridge.Peer, error) {
	var addresses node.Addresses
	var self jackdawbridge.Peer
	for flag, value := range map[string]string{"instance": c.Instance, "data-centre": c.DataCentre} {
		if !namePattern.MatchString(value) {
			return addresses, self, flagError(flag, value, "a name of up to 64 lower-case letters, digits and hyphens")
		}
	}
	for i, secret := range c.Secret {
		if len(secret) < minSecretBytes {
			return addresses, self, errors.Errorf("--secret: secret %d has %d bytes: want at least %d", i+1, len(secret), minSecretBytes)
		}
	}
	flags := []struct{ name, value string }{
		{"callers", c.Callers}, {"peers", c.Peers}, {"gossip", c.Gossip}, {"rpc", c.RPC}, {"backend", c.Backend}, {"admin", c.Admin},
	}
	parsed := make(map[string]netip.AddrPort, len(flags))
	for _, f := range flags {
		a, err := parseAddrPort(f.name, f.value)
		if err != nil {
			return addresses, self, err
		}
		// Peers connect to these addresses.
		if (f.name == "peers" || f.name == "gossip" || f.name == "rpc") && a.Addr().IsUnspecified() {
			return addresses, self, flagError(f.name, f.value, "the address at which peers reach this node")
		}
		parsed[f.name] = a
	}
	addresses, err := node.NewAddresses(parsed["peers"].Addr(), parsed["callers"], parsed["backend"], parsed["admin"])
	if err != nil {
		return addresses, self, err
	}
	if c.Metrics != "" {
		a, err := parseAddrPort("metrics", c.Metrics)
		if err != nil {
			return addresses, self, err
		}
		addresses = addresses.WithMetrics(a)
	}
	self = jackdawbridge.NewPeer(jackdawbridge.NewNode(jackdawbridge.Instance(c.Instance), 1), jackdawbridge.DataCentre(c.DataCentre),
		jackdawbridge.NewAddresses(parsed["gossip"], parsed["rpc"], parsed["peers"]))
	return addresses, self, nil
}

// joins returns the peers named by --join. Only their gossip addresses are known;
// the other values are placeholders.
func (c *nodeCommand) joins() ([]jackdawbridge.Peer, error) {
	var joins []jackdawbridge.Peer
	for _, text := range c.Join {
		a, err := parseAddrPort("join", text)
		if err != nil {
			return nil, err
		}
		// The peer's instance name is not known before its first answer.
		unknown := jackdawbridge.NewNode(jackdawbridge.Instance("unknown-"+a.String()), 1)
		joins = append(joins, jackdawbridge.NewPeer(unknown, jackdawbridge.DataCentre(c.DataCentre), jackdawbridge.NewAddresses(a, a, a)))
	}
	return joins, nil
}

// maxDescriptors returns the maximum number of open descriptors of the process, 0 if it is
// unknown.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// maxHeaderBytes is the maximum of the flag header-bytes.
const maxHeaderBytes = 1 << 20

// The head of each request that a listener takes fits a frame of a link, with a tag and a
// length for each name and value: this fails to compile otherwise.
const _ = uint(link.MaxPayload - maxHeaderBytes - 2*jackdawbridge.MaxHeaderFields*(1+3))

// maxDuration is the maximum of every flag that holds a duration.
const maxDuration = 24 * time.Hour

// limits validates the flags that hold durations and limits, and returns the limits
// of the listeners.
func (c *nodeCommand) limits() (node.Limits, error) {
	var none node.Limits
	for _, f := range []struct {
		name  string
		value time.Duration
		low   time.Duration
	}{
		{"default-timeout", c.DefaultTimeout, time.Millisecond},
		{"max-timeout", c.MaxTimeout, c.DefaultTimeout},
		{"header-time", c.HeaderTime, 10 * time.Millisecond},
		{"body-grace", c.BodyGrace, 10 * time.Millisecond},
		{"idle", c.Idle, time.Second},
		{"heartbeat", c.Heartbeat, 100 * time.Millisecond},
		{"backend-idle", c.BackendIdle, 10 * time.Millisecond},
		{"apply-limit", c.ApplyLimit, time.Second},
		{"confirm", c.Confirm, 100 * time.Millisecond},
		{"drain-period", c.DrainPeriod, 0},
		{"grace-period", c.GracePeriod, c.Linger},
		{"linger", c.Linger, 0},
	} {
		if f.value < f.low || f.value > maxDuration {
			return none, flagError(f.name, f.value.String(), fmt.Sprintf("%s to %s", f.low, maxDuration))
		}
	}
	for _, f := range []struct {
		name             string
		value, low, high int64
	}{
		{"header-bytes", int64(c.HeaderBytes), 1 << 10, maxHeaderBytes},
		{"body-bytes", c.BodyBytes, 0, 1 << 40},
		{"body-rate", c.BodyRate, 1, 1 << 30},
		{"read-bytes", c.ReadBytes, 1 << 20, 1 << 40},
		{"max-conns", int64(c.MaxConns), 1, 1 << 20},
		{"retry-permille", int64(c.RetryPermille), 0, 1000},
		{"retry-burst", int64(c.RetryBurst), 0, 1000},
	} {
		if err := checkRange(f.name, f.value, f.low, f.high); err != nil {
			return none, err
		}
	}
	return node.DefaultLimits().
		WithHeader(c.HeaderBytes, c.HeaderTime).
		WithBody(c.BodyBytes, c.BodyRate, c.BodyGrace).
		WithReadBytes(c.ReadBytes).
		WithConns(c.MaxConns, c.Idle).
		WithDescriptors(maxDescriptors()).
		WithBackendIdle(c.BackendIdle).
		WithHeartbeat(c.Heartbeat).
		WithGrace(c.GracePeriod * gracePercent / 100).
		WithLinger(c.Linger), nil
}
