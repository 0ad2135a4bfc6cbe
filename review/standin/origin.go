//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

// origin sends requests whose client names Caller-Service in its Connection header. The
// rule is broken if a server runs one without the service of the machine where the
// request began.
func origin(f *fleet) (bool, error) {
	f.zones = []string{"zone-a"}
	if err := f.configure(route{routeHost, "/leny950/", "non_idempotent", "lovo22d", 0}); err != nil {
		return false, err
	}
	entry, err := f.add("side-a-1", "huvo11a")
	if err != nil {
		return false, err
	}
	other, err := f.add("side-a-2", "lovo22d")
	if err != nil {
		return false, err
	}
	entry.serve(8, 10*time.Millisecond)
	s := other.serve(8, 10*time.Millisecond)
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	header := http.Header{}
	if f.trouble {
		header.Set("Connection", "keep-alive, Caller-Service")
	}
	served := 0
	for range 20 {
		a := entry.call("/leny950/2f", header)
		f.record("request %s sent with Connection %q: answer %d", a.id, header.Get("Connection"), a.status)
		if a.status == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	wrong := 0
	for _, a := range s.arrived() {
		f.record("request %s run by %s with Caller-Service %q", a.id, s.id, strings.Join(a.origin, ", "))
		if a.ran && (len(a.origin) != 1 || a.origin[0] != "huvo11a") {
			wrong++
		}
	}
	f.record("served: %d of 20, run with another Caller-Service than huvo11a: %d", served, wrong)
	return wrong > 0, nil
}
