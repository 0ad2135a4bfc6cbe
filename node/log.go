package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// maxLinesPerSecond bounds the log lines with the same text in one second. A
	// busy node makes thousands of decisions a second, and writing a line costs
	// about as much processor time as a decision.
	maxLinesPerSecond = 20
	// maxCountedTexts bounds the number of texts whose lines are counted. There are
	// about a hundred texts.
	maxCountedTexts = 1024
)

// logQueueLength is the number of lines that can wait for a slow output. Effects
// are executed under the node's mutex and must not wait, so a line that does not
// fit into the queue is dropped and counted.
const logQueueLength = 4096

// logWriter writes log lines in the background and limits the rate of lines with
// the same text.
type logWriter struct {
	handler slog.Handler
	lines   chan slog.Record
	dropped atomic.Int64  // lines left out by the rate limit or because the queue was full
	done    chan struct{} // closed when all queued lines are written

	mu     sync.RWMutex
	closed bool

	countMu  sync.Mutex
	counters map[string]*lineCounter // by text, at most maxCountedTexts
}

// lineCounter counts the lines with one text in the current second.
type lineCounter struct {
	second  int64 // Unix time of the current second
	lines   int   // lines admitted in the current second
	omitted int64 // lines left out since the last admitted one
}

func newLogWriter(logger *slog.Logger) *logWriter {
	l := &logWriter{handler: logger.Handler(), lines: make(chan slog.Record, logQueueLength), done: make(chan struct{}), counters: make(map[string]*lineCounter)}
	go l.run()
	return l
}

func (l *logWriter) run() {
	defer close(l.done)
	for line := range l.lines {
		_ = l.handler.Handle(context.Background(), line)
	}
}

// close stops the writer and waits until the queued lines are written. Later
// lines are discarded.
func (l *logWriter) close() {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if !closed {
		close(l.lines)
	}
	<-l.done
}

func (l *logWriter) info(text string, args ...any) { l.write(slog.LevelInfo, text, args...) }
func (l *logWriter) warn(text string, args ...any) { l.write(slog.LevelWarn, text, args...) }

// write queues a line unless its text exceeds the rate limit. The first line after
// omitted ones states their number.
func (l *logWriter) write(level slog.Level, text string, args ...any) {
	if !l.handler.Enabled(context.Background(), level) {
		return
	}
	now := time.Now()
	omitted, ok := l.admit(text, now.Unix())
	if !ok {
		return
	}
	line := slog.NewRecord(now, level, text, 0)
	line.Add(args...)
	if omitted > 0 {
		line.Add("omitted", omitted)
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return
	}
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

// admit reports whether another line with the given text may be written in the
// given second of Unix time. If so, omitted is the number of lines with this text
// that were left out since the last admitted one.
func (l *logWriter) admit(text string, second int64) (omitted int64, ok bool) {
	l.countMu.Lock()
	defer l.countMu.Unlock()
	counter := l.counters[text]
	if counter == nil {
		if len(l.counters) >= maxCountedTexts {
			clear(l.counters)
		}
		counter = &lineCounter{}
		l.counters[text] = counter
	}
	if counter.second != second {
		counter.second, counter.lines = second, 0
	}
	if counter.lines >= maxLinesPerSecond {
		counter.omitted++
		l.dropped.Add(1)
		return 0, false
	}
	counter.lines++
	omitted, counter.omitted = counter.omitted, 0
	return omitted, true
}

// writeEffect writes the line of a Log effect, prefixed with the name of the
// reducer's part that it comes from.
func (l *logWriter) writeEffect(e *jackdawbridge.Log) {
	level := slog.LevelInfo
	if e.Warn() {
		level = slog.LevelWarn
	}
	args := make([]any, 0, 8)
	if e.Request() != "" {
		args = append(args, slog.String("request", string(e.Request())))
	}
	if !e.Node().IsZero() {
		args = append(args, slog.String("node", e.Node().String()))
	}
	for _, a := range e.Attrs() {
		if a.Text() != "" {
			args = append(args, slog.String(a.Key(), a.Text()))
		} else {
			args = append(args, slog.Int64(a.Key(), a.Number()))
		}
	}
	l.write(level, e.Part().String()+": "+e.Text(), args...)
}
