package clock

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSystem guards against a clock that follows corrections of the wall clock, mistakes
// such a correction for a suspension, or does not detect a suspension.
func TestSystem(t *testing.T) {
	var wall, mono, boot time.Duration
	var s *System
	datadriven.RunTest(t, "testdata/system", func(t *testing.T, d *datadriven.TestData) string {
		var byWall, byMono string
		d.ScanArgs(t, "wall", &byWall)
		d.ScanArgs(t, "mono", &byMono)
		wall += parseDuration(t, d, byWall)
		mono += parseDuration(t, d, byMono)
		byBoot := byMono
		d.MaybeScanArgs(t, "boot", &byBoot)
		boot += parseDuration(t, d, byBoot)
		if s == nil {
			s = newSystem(func() (time.Duration, time.Duration) { return wall, mono }, func() time.Duration { return boot })
		}
		return strconv.FormatInt(int64(s.Now()), 10)
	})
}

func parseDuration(t *testing.T, d *datadriven.TestData, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// TestNew guards against a clock that does not start at wall time.
func TestNew(t *testing.T) {
	before := time.Now().UnixMilli()
	first := int64(New().Now())
	if after := time.Now().UnixMilli(); first < before || first > after {
		t.Errorf("new clock reads %d ms: want the wall time, %d to %d ms", first, before, after)
	}
}
