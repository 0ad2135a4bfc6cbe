package node

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// batches is a writer that tells each write.
type batches chan string

// Write tells what is written.
func (b batches) Write(p []byte) (int, error) {
	b <- string(p)
	return len(p), nil
}

// TestOutput guards against lines that stay in memory, against a system call for each
// line, and against writes that a pipe would divide in a line.
func TestOutput(t *testing.T) {
	written := make(batches, 4)
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
				t.Errorf("written (-want +got):\n%s", diff)
			}
		case <-time.After(time.Minute):
			t.Fatalf("nothing is written: want %q", want)
		}
	}
	await("one\ntwo\n")
	long := strings.Repeat("x", maxOutput)
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
