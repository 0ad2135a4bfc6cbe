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
	// lineRate bounds the lines of one text in a second. A busy node makes
	// thousands of decisions a second, and a line costs about as much processor
	// time as a decision.
	lineRate = 20
	// maxTexts bounds the texts whose lines are counted; there are about a hundred.
	maxTexts = 1024
)

// logBuffer is the number of lines that wait for a slow output. Effects are
// executed under the node's mutex, so a line that finds no room is dropped and
// counted.
const logBuffer = 4096

// logWriter writes log lines in the background.
type logWriter struct {
	handler slog.Handler
	lines   chan slog.Record
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool

	countMu sync.Mutex
	volumes map[string]*volume // by text, at most maxTexts
}

// volume counts the lines of one text in the current second.
type volume struct {
	second  int64 // Unix time
	lines   int
	omitted int64 // lines left out since the last one that was written
}

func newLogWriter(logger *slog.Logger) *logWriter {
	l := &logWriter{handler: logger.Handler(), lines: make(chan slog.Record, logBuffer), done: make(chan struct{}), volumes: make(map[string]*volume)}
	go l.run()
	return l
}

func (l *logWriter) run() {
	defer close(l.done)
	for line := range l.lines {
		_ = l.handler.Handle(context.Background(), line)
	}
}

// close writes what is left and ends the writer.
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

// admit reports whether a line of a text may be written, and how many lines were
// left out before it.
func (l *logWriter) admit(text string, second int64) (omitted int64, ok bool) {
	l.countMu.Lock()
	defer l.countMu.Unlock()
	counter := l.volumes[text]
	if counter == nil {
		if len(l.volumes) >= maxTexts {
			clear(l.volumes)
		}
		counter = &volume{}
		l.volumes[text] = counter
	}
	if counter.second != second {
		counter.second, counter.lines = second, 0
	}
	if counter.lines >= lineRate {
		counter.omitted++
		l.dropped.Add(1)
		return 0, false
	}
	counter.lines++
	omitted, counter.omitted = counter.omitted, 0
	return omitted, true
}

// effect writes the line of a decision with its part as prefix.
func (l *logWriter) effect(e *jackdawbridge.Log) {
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
