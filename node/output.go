package node

import (
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// outputDelay is how long a line may wait for others that go out with it. A node
	// writes some hundred lines a second, each of which costs a system call alone.
	outputDelay = 200 * time.Millisecond
	// maxOutput bounds the bytes of a write, but for a longer line: a collector that
	// reads a pipe gets no part of a line then (PIPE_BUF on Linux).
	maxOutput = 4 << 10
)

// Output writes log lines in batches. It is safe for concurrent use.
type Output struct {
	to io.Writer

	mu      sync.Mutex
	pending []byte
	timer   *time.Timer // writes what is pending; nil while nothing is
	err     error       // of the last write that failed
}

// NewOutput returns an output to a writer.
func NewOutput(to io.Writer) *Output { return &Output{to: to} }

// Write takes a line. An error of an earlier write is reported once.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(line) > maxOutput {
		o.flush()
	}
	o.pending = append(o.pending, line...)
	if o.timer == nil {
		o.timer = time.AfterFunc(outputDelay, o.late)
	}
	if err := o.err; err != nil {
		o.err = nil
		return 0, errors.Errorf("write log: %w", err)
	}
	return len(line), nil
}

// late writes the lines whose delay has ended.
func (o *Output) late() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flush()
}

// flush writes what is pending. o.mu is held.
func (o *Output) flush() {
	if o.timer != nil {
		o.timer.Stop()
		o.timer = nil
	}
	if len(o.pending) == 0 {
		return
	}
	if _, err := o.to.Write(o.pending); err != nil {
		o.err = err
	}
	o.pending = o.pending[:0]
}

// Close writes what is left.
func (o *Output) Close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flush()
	if o.err != nil {
		return errors.Errorf("write log: %w", o.err)
	}
	return nil
}
