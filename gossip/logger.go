package gossip

import (
	"fmt"
	"log/slog"
)

// logger logs the warnings and errors of gnet. It discards the lower levels, which
// are about the event loops of gnet.
type logger struct{ log *slog.Logger }

// Debugf discards the message.
func (logger) Debugf(string, ...any) {}

// Infof discards the message.
func (logger) Infof(string, ...any) {}

// Warnf logs a warning.
func (l logger) Warnf(format string, args ...any) {
	l.log.Warn("gossip: " + fmt.Sprintf(format, args...))
}

// Errorf logs an error.
func (l logger) Errorf(format string, args ...any) {
	l.log.Error("gossip: " + fmt.Sprintf(format, args...))
}

// Fatalf logs an error. It does not exit the process, since the engine also returns
// the error.
func (l logger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
