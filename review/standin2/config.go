package main

import "fmt"

// The parts of the operator's configuration, with the names of the pages.
type (
	configuration struct {
		Version   string         `json:"version"`
		Limits    map[string]int `json:"limits"`
		Tenants   []tenant       `json:"tenants"`
		Listeners []listener     `json:"listeners"`
		Clusters  []cluster      `json:"clusters"`
	}
	tenant struct {
		Name     string   `json:"name"`
		Keys     []string `json:"apiKeys"`
		Priority int      `json:"priority"`
		Rate     int      `json:"ratePerS"`
		Burst    int      `json:"burst"`
	}
	listener struct {
		Host  string `json:"host"`
		Rules []rule `json:"rules"`
	}
	rule struct {
		Name     string `json:"name"`
		Kind     string `json:"kind"`
		SloMs    int    `json:"sloMs"`
		Priority int    `json:"priority"`
		Public   bool   `json:"public"`
		Match    match  `json:"match"`
		Action   action `json:"action"`
	}
	match struct {
		Prefix string `json:"prefix"`
	}
	action struct {
		Service   string `json:"service"`
		TimeoutMs int    `json:"timeoutMs"`
		Attempts  int    `json:"attempts"`
	}
	cluster struct {
		Name       string `json:"name"`
		HealthPath string `json:"healthPath"`
		MaxConns   int    `json:"maxConns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
)

// newConfiguration returns a configuration of the given version with one tenant, which has the
// given keys and no limit.
func newConfiguration(version int, hosts []listener, keys ...string) configuration {
	c := configuration{
		Version: fmt.Sprintf("%08x", version), Tenants: []tenant{{Name: "pulo780", Keys: keys, Priority: 1}}, Listeners: hosts,
		Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for _, s := range []string{balance, logs} {
		c.Clusters = append(c.Clusters, cluster{Name: s, HealthPath: "/healthz", MaxConns: 298, Protocol: "h1"})
	}
	return c
}

// newRule returns a route to a service.
func newRule(name, kind, prefix, service string, timeoutMs int) rule {
	return rule{Name: name, Kind: kind, SloMs: 1500, Priority: 1, Match: match{prefix}, Action: action{Service: service, TimeoutMs: timeoutMs, Attempts: 2}}
}
