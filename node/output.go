package node

import (
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// flushDelay is how long a line may wait for others to be written with it. A
	// node logs some hundred lines a second, and without batches each of them would
	// cost a system call.
	flushDelay = 200 * time.Millisecond
	// maxWriteBytes bounds the bytes of one write; only a single line may be longer.
	// A pipe writes up to this size atomically (PIPE_BUF on Linux), so a log
	// collector that reads the pipe sees whole lines.
	maxWriteBytes = 4 << 10
)

// Output is a writer that batches log lines. It is safe for concurrent use.
type Output struct {
	to io.Writer

	mu      sync.Mutex
	pending []byte
	timer   *time.Timer // flushes the pending lines; nil if there are none
	err     error       // error of the last failed write, until it is reported
}

// NewOutput returns an Output that writes to the given writer.
func NewOutput(to io.Writer) *Output { return &Output{to: to} }

// Write buffers a line. After a failed write of earlier lines it returns that error
// once, and buffers the line nevertheless.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(line) > maxWriteBytes {
		o.flush()
	}
	o.pending = append(o.pending, line...)
	if o.timer == nil {
		o.timer = time.AfterFunc(flushDelay, o.flushExpired)
	}
	if err := o.err; err != nil {
		o.err = nil
		return 0, errors.Errorf("write log: %w", err)
	}
	return len(line), nil
}

// flushExpired flushes the pending lines at the end of their delay.
func (o *Output) flushExpired() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flush()
}

// flush writes the pending lines. o.mu is held.
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

// Close flushes the pending lines. It does not close the underlying writer.
func (o *Output) Close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flush()
	if o.err != nil {
		return errors.Errorf("write log: %w", o.err)
	}
	return nil
}
