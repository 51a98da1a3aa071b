package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/httpserver"
	"github.com/yarrowgap/yarrowgap/internal/tracing"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

type serveCmd struct{ configFlags }

func (c serveCmd) Run() error {
	log, err := newLogger(os.Stderr, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	cfg, pol, err := c.load()
	if err != nil {
		return err
	}
	quota := cfg.Deployment.Quota
	debug.SetGCPercent(tuning.GCPercent)
	if quota.MemMB > 0 {
		debug.SetMemoryLimit(int64(quota.MemMB * tuning.MemoryLimitShare * (1 << 20)))
	}
	users, err := listen(cfg.Bind)
	if err != nil {
		return err
	}
	peers, err := listen(cfg.PeerAddr)
	if err != nil {
		return err
	}
	listener := newLimitedListener(users, cfg.MaxConnections())
	log = log.With("node", cfg.Node)
	for _, s := range cfg.Shortfalls() {
		log.Error("settings fall short", "what", s)
	}
	tracer, err := tracing.Open(pol.TraceFile, cfg.Node)
	if err != nil {
		return usageError{err}
	}
	n := controller.New(cfg, pol, log)
	n.SetTracer(tracer)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("serving", "bind", cfg.Bind, "mesh", cfg.PeerAddr, "zone", cfg.Zone, "version", version)

	for _, o := range cfg.Deployment.Objectives {
		log.Debug("objective", "kind", o.Kind, "class", o.Class, "within_s", o.WithinS, "share", o.Share)
	}

	failed := make(chan error, 2)
	front := httpserver.New(api.NewHandler(n, log, listener.crowded), api.NonBlocking, log)
	n.SetRequestBacklog(front.QueueDelay)
	mesh := newPeerServer(api.NewPeerHandler(n, log), log)
	go serve(front, listener, failed)
	go serve(mesh, peers, failed)
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	select {
	case err = <-failed:
		stop()
	case <-ctx.Done():
		log.Info("stopping")
	}
	down, cancel := context.WithTimeout(context.Background(), tuning.StoreTimeout)
	defer cancel()
	_ = front.Shutdown(down)
	_ = mesh.Shutdown(down)
	select {
	case <-done:
	case <-down.Done():
	}
	if closeErr := tracer.Close(down); err == nil {
		err = closeErr
	}
	return err
}

// newPeerServer serves the few connections of the other controllers.
func newPeerServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		ReadTimeout:       tuning.HeaderTimeout + tuning.BodyTimeout,
		IdleTimeout:       tuning.IdleConnTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// serve serves until the server is shut down, and says why if it ends before.
func serve(s interface{ Serve(net.Listener) error }, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}
