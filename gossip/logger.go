package gossip

import (
	"fmt"
	"log/slog"
)

// logger passes the warnings and errors of gnet on; the rest is about its
// own event loops.
type logger struct{ log *slog.Logger }

// Debugf drops the line.
func (logger) Debugf(string, ...any) {}

// Infof drops the line.
func (logger) Infof(string, ...any) {}

// Warnf logs a warning.
func (l logger) Warnf(format string, args ...any) {
	l.log.Warn("gossip: " + fmt.Sprintf(format, args...))
}

// Errorf logs an error.
func (l logger) Errorf(format string, args ...any) {
	l.log.Error("gossip: " + fmt.Sprintf(format, args...))
}

// Fatalf logs an error. It does not end the process: the engine returns its error.
func (l logger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
