package node

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/jackdawbridge/jackdawbridge"
)

// statusPage is the JSON document that the admin listener serves at /status.
type statusPage struct {
	Instance       string `json:"instance"`
	DataCentre     string `json:"data_centre"`
	Config         uint64 `json:"config"` // revision of the configuration
	Keys           uint64 `json:"keys"`   // revision of the keys
	Incarnation    uint64 `json:"incarnation"`
	Service        string `json:"service"`
	State          string `json:"state"`
	Slots          int    `json:"slots"`
	Epoch          uint64 `json:"epoch"`            // of the ranges
	SinceConfirmed int64  `json:"confirmed_ms_ago"` // ms since the tables were confirmed
	Ready          bool   `json:"ready"`
	Stopping       bool   `json:"stopping"`
	Calls          int    `json:"calls"`   // in progress with this node as their entry node
	Runs           int    `json:"runs"`    // requests that wait or run at this node
	Waiting        int    `json:"waiting"` // those of runs that wait
	Limit          int    `json:"limit"`   // maximum number of concurrent runs
	Members        int    `json:"members"` // other nodes in the member list
}

// adminHandler returns the handler of the admin listener: status, metrics and
// readiness.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", n.serveStatus)
	mux.HandleFunc("GET /metrics", n.serveMetrics)
	mux.HandleFunc("GET "+n.deps.dialect.ReadyPath(), n.serveReady)
	return mux
}

// metricsHandler returns the handler of the listener that serves only metrics.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", n.serveMetrics)
	return mux
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := n.Status()
	self := s.Self()
	n.writeJSON(w, statusPage{
		Instance: string(self.Node().Instance()), DataCentre: string(self.DataCentre()),
		Config: s.Digest().Config(), Keys: s.Digest().Keys(), Incarnation: self.Node().Incarnation(),
		Service: string(self.Service()), State: self.State().String(), Slots: self.Slots(),
		Epoch: s.Digest().RangesProgress(), SinceConfirmed: int64(s.Digest().SinceConfirmed()),
		Ready: s.Ready(), Stopping: s.Stopping(),
		Calls: s.Calls(), Runs: s.Runs(), Waiting: s.Waiting(), Limit: s.Limit(), Members: s.Members(),
	})
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Status().Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s := n.Status()
	n.metrics.set("calls_in_progress", int64(s.Calls()))
	n.metrics.set("runs_in_progress", int64(s.Runs()))
	n.metrics.set("runs_waiting", int64(s.Waiting()))
	n.metrics.set("runs_limit", int64(s.Limit()))
	n.metrics.set("backend_cold_left_milliseconds", int64(s.ColdLeft()))
	n.metrics.set("backend_cold_refused", int64(s.ColdRefused()))
	evacuated := int64(0)
	if s.Evacuated() {
		evacuated = 1
	}
	n.metrics.set("data_centre_evacuated", evacuated)
	n.metrics.set("picks_by_completion", s.Placing().Picks())
	n.metrics.set("loads_clamped", s.Placing().Clamped())
	n.metrics.set("run_time_expected_milliseconds", int64(s.Placing().Expected()))
	n.metrics.set("run_time_actual_milliseconds", int64(s.Placing().Actual()))
	n.metrics.set("members", int64(s.Members()))
	n.setTreeMetrics(s.Trees())
	n.metrics.set("ranges_epoch", int64(s.Digest().RangesProgress()))
	n.metrics.set("tables_confirmed_age_milliseconds", int64(s.Digest().SinceConfirmed()))
	n.metrics.set("revision_config", int64(s.Digest().Config()))
	n.metrics.set("revision_keys", int64(s.Digest().Keys()))
	n.metrics.set("config_version", int64(n.deps.dialect.ConfigVersion(s.Digest().Config())))
	n.metrics.set("config_omitted", int64(s.Omitted()))
	n.metrics.setCounter("config_omissions", int64(s.EverOmitted()))
	n.metrics.set("read_bytes_held", n.reading.held())
	n.metrics.set("log_lines_dropped", n.log.dropped.Load())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	n.metrics.write(w)
}

func (n *Node) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		n.log.warn("node: failed to write the status page", "error", err)
	}
}

// setTreeMetrics sets the gauges of the decisions about call trees.
func (n *Node) setTreeMetrics(c jackdawbridge.TreeCounts) {
	n.metrics.set("second_tries_granted", int64(c.Granted()))
	n.metrics.set("second_tries_denied", int64(c.Denied()))
	n.metrics.set("second_tries_threshold", int64(c.RetryThreshold()))
	n.metrics.set("rejected_permille", int64(c.Rejected()))
	n.metrics.set("trees_threshold", int64(c.Threshold()))
	n.metrics.set("trees_load_permille", int64(c.Load()))
	n.metrics.set("trees_tables_emptied", int64(c.Evicted()))
	for rank := jackdawbridge.Level(1); rank <= jackdawbridge.MaxRank; rank++ {
		if refused := c.Refused(rank); refused > 0 {
			n.metrics.set("trees_refused_rank_"+strconv.Itoa(int(rank)), int64(refused))
		}
	}
}
