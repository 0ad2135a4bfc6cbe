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

const headerTimeout = 5 * time.Second

type platformCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7400" env:"STANDIN_PLATFORM_LISTEN"`
}

// Run serves until SIGINT or SIGTERM. Waiting watches are cut off.
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
		return errors.Errorf("platform: %w", err)
	case <-ctx.Done():
	}
	if err := server.Close(); err != nil {
		return errors.Errorf("platform: %w", err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Errorf("platform: %w", err)
	}
	return nil
}
