package audit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/jackdawbridge/jackdawbridge"
)

// script holds the entries that a script has given.
type script struct {
	config, keys []jackdawbridge.Entry
	inForce      *jackdawbridge.Table
}

// TestScripts runs the scripts in testdata. The comment at the head of a script names the
// failures that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out, err := s.command(t, d)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			return out
		})
	})
}

// command runs one command of a script and returns its output.
func (s *script) command(t *testing.T, d *datadriven.TestData) (string, error) {
	switch d.Cmd {
	case "account":
		var name string
		var rate, burst int64
		d.ScanArgs(t, "name", &name)
		d.ScanArgs(t, "rate", &rate)
		d.ScanArgs(t, "burst", &burst)
		var shares []jackdawbridge.Share
		for i, field := range strings.Fields(d.Input) {
			var permille int
			if _, err := fmt.Sscan(field, &permille); err != nil {
				return "", err
			}
			share, err := jackdawbridge.NewShare(jackdawbridge.DataCentre(fmt.Sprintf("dc%d", i+1)), permille)
			if err != nil {
				return "", err
			}
			shares = append(shares, share)
		}
		a, err := jackdawbridge.NewAccount(jackdawbridge.AccountName(name), rate, burst, shares)
		if err != nil {
			return "", err
		}
		if d.HasArg("unlimited") {
			a = a.WithoutLimit()
		}
		s.config = append(s.config, jackdawbridge.AccountEntry(a))
	case "service": // lines of prefix, methods or all, open or keyed, timeout and objective in ms
		var name string
		d.ScanArgs(t, "name", &name)
		var routes []*jackdawbridge.Route
		for line := range strings.Lines(d.Input) {
			var prefix, methods, open string
			var timeout, objective jackdawbridge.Millis
			if _, err := fmt.Sscan(line, &prefix, &methods, &open, &timeout, &objective); err != nil {
				return "", err
			}
			var list []string
			if methods != "all" {
				list = strings.Split(methods, ",")
			}
			r, err := jackdawbridge.NewRoute(prefix, list, jackdawbridge.Normal, false, open == "open")
			if err != nil {
				return "", err
			}
			routes = append(routes, r.WithTimes(timeout, objective))
		}
		service, err := jackdawbridge.NewService(jackdawbridge.ServiceName(name), routes)
		if err != nil {
			return "", err
		}
		s.config = append(s.config, jackdawbridge.ServiceEntry(service))
	case "key":
		var account string
		d.ScanArgs(t, "account", &account)
		k, err := jackdawbridge.NewKey(jackdawbridge.KeyHash{byte(len(s.keys))}, jackdawbridge.AccountName(account), "")
		if err != nil {
			return "", err
		}
		s.keys = append(s.keys, jackdawbridge.KeyEntry(k))
	case "in-force": // takes the entries so far as those in force, and begins anew
		table, err := jackdawbridge.NewTable(1, "first", s.config)
		s.inForce, s.config = table, nil
		return "", err
	case "inspect":
		return render(Inspect(s.config)), nil
	case "inspect-keys":
		return render(InspectKeys(s.config, s.keys)), nil
	case "compare":
		var found []Finding
		for _, difference := range Compare(s.inForce, s.config) {
			found = append(found, difference.Finding())
		}
		return render(found), nil
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return "", nil
}

// render returns findings as lines.
func render(found []Finding) string {
	var b strings.Builder
	for _, f := range found {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}
