package node

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// writeRecorder is a writer that sends the text of each write to a channel.
type writeRecorder chan string

// Write sends p to the channel.
func (w writeRecorder) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

// TestOutput guards against lines that are never written, against a system call for
// each line, and against writes that a pipe could split in the middle of a line.
func TestOutput(t *testing.T) {
	written := make(writeRecorder, 4)
	o := NewOutput(written)
	for _, line := range []string{"one\n", "two\n"} {
		if _, err := o.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	await := func(want string) {
		t.Helper()
		select {
		case got := <-written:
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("text of one write (-want +got):\n%s", diff)
			}
		case <-time.After(time.Minute):
			t.Fatalf("no write within a minute: want %q", want)
		}
	}
	await("one\ntwo\n")
	long := strings.Repeat("x", maxWriteBytes)
	if _, err := o.Write([]byte(long)); err != nil {
		t.Fatal(err)
	}
	if _, err := o.Write([]byte("next\n")); err != nil {
		t.Fatal(err)
	}
	await(long)
	await("next\n")
	if _, err := o.Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	if err := o.Close(); err != nil {
		t.Fatal(err)
	}
	await("last\n")
}
