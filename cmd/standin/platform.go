package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge/standin"
)

// headerTimeout is the timeout for reading a request header.
const headerTimeout = 5 * time.Second

// platformCommand runs a stand-in for the platform's key-value service.
type platformCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7400" env:"STANDIN_PLATFORM_LISTEN"`
}

// Run serves requests until SIGINT or SIGTERM. It then closes all connections, those
// of pending watches included.
func (c *platformCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Errorf("platform: %w", err)
	}
	p := standin.NewPlatform()
	defer p.Close()
	server := &http.Server{Handler: p, ReadHeaderTimeout: headerTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	slog.Info("platform: listening", "address", listener.Addr().String())
	select {
	case err := <-ended:
		return errors.Errorf("platform: serve: %w", err)
	case <-ctx.Done():
	}
	if err := server.Close(); err != nil {
		return errors.Errorf("platform: close listener and connections: %w", err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Errorf("platform: serve: %w", err)
	}
	return nil
}
