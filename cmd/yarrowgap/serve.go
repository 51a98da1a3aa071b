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
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/httpserver"
	"github.com/yarrowgap/yarrowgap/internal/tracing"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// serveCmd runs a controller.
type serveCmd struct{ configFlags }

// Run serves until the process is told to end, or a listener fails.
func (c serveCmd) Run() error {
	log, err := newLogger(os.Stderr, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	cfg, operatorSettings, err := c.load()
	if err != nil {
		return err
	}
	setRuntimeLimits(cfg.Deployment.Quota)
	listeners, err := openListeners(cfg)
	if err != nil {
		return err
	}
	log = log.With("node", cfg.Node)
	logShortfalls(log, cfg)
	tracer, err := tracing.Open(operatorSettings.TraceFile, cfg.Node)
	if err != nil {
		return usageError{err}
	}
	ctl := controller.New(cfg, operatorSettings, log)
	ctl.SetTracer(tracer)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logSettings(log, cfg)
	process := startProcess(ctx, ctl, listeners, log)
	err = process.wait(ctx, log)
	return errors.Join(err, process.shutDown(tracer))
}

// setRuntimeLimits has the Go runtime keep to the platform's memory limit.
func setRuntimeLimits(quota config.ResourceLimits) {
	debug.SetGCPercent(tuning.GCPercent)
	if quota.MemMB > 0 {
		debug.SetMemoryLimit(int64(quota.MemMB * tuning.MemoryLimitShare * (1 << 20)))
	}
}

// listeners are where requests arrive.
type listeners struct {
	users *limitedListener // and workers
	peers net.Listener
}

func openListeners(cfg *config.Settings) (*listeners, error) {
	users, err := listen(cfg.Bind)
	if err != nil {
		return nil, err
	}
	peers, err := listen(cfg.PeerAddr)
	if err != nil {
		return nil, err
	}
	return &listeners{users: newLimitedListener(users, cfg.MaxConnections()), peers: peers}, nil
}

func logShortfalls(log *slog.Logger, cfg *config.Settings) {
	for _, shortfall := range cfg.Shortfalls() {
		log.Error("setting below recommended minimum", "field", shortfall.Field, "value", shortfall.Value,
			"minimum", shortfall.Minimum, "consequence", shortfall.Consequence)
	}
}

func logSettings(log *slog.Logger, cfg *config.Settings) {
	log.Info("serving", "bind", cfg.Bind, "peer_addr", cfg.PeerAddr, "zone", cfg.Zone, "version", version)
	for _, objective := range cfg.Deployment.Objectives {
		log.Debug("objective", "kind", objective.Kind, "class", objective.Class, "within_s", objective.WithinS, "share", objective.Share)
	}
}

// process is a running controller with its servers.
type process struct {
	front          *httpserver.Server // of users and workers
	peers          *http.Server
	failed         chan error // why a server ended by itself
	stopController context.CancelFunc
	controllerDone chan struct{}
}

func startProcess(ctx context.Context, ctl *controller.Controller, on *listeners, log *slog.Logger) *process {
	ctx, stopController := context.WithCancel(ctx)
	p := &process{
		front:          httpserver.New(api.NewHandler(ctl, log, on.users.crowded), api.NonBlocking, log),
		peers:          newPeerServer(api.NewPeerHandler(ctl, log), log),
		failed:         make(chan error, 2),
		stopController: stopController,
		controllerDone: make(chan struct{}),
	}
	ctl.SetRequestBacklog(p.front.QueueDelay)
	go serve(p.front, on.users, p.failed)
	go serve(p.peers, on.peers, p.failed)
	go func() {
		defer close(p.controllerDone)
		ctl.Run(ctx)
	}()
	return p
}

// wait returns when ctx ends, or with the error of a server that ended by itself.
func (p *process) wait(ctx context.Context, log *slog.Logger) error {
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
		log.Info("stopping")
		return nil
	}
}

// shutDown stops the controller, lets requests end and exports the spans that are left.
// What takes too long ends with the process.
func (p *process) shutDown(tracer *tracing.Tracer) error {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.StoreTimeout)
	defer cancel()
	p.stopController()
	_ = p.front.Shutdown(ctx)
	_ = p.peers.Shutdown(ctx)
	select {
	case <-p.controllerDone:
	case <-ctx.Done():
	}
	return tracer.Close(ctx)
}

// serve reports why a server ended, unless it was shut down.
func serve(server interface{ Serve(net.Listener) error }, listener net.Listener, failed chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// newPeerServer serves the few connections of the other controllers.
func newPeerServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		ReadTimeout:       tuning.HeaderTimeout + tuning.BodyTimeout,
		IdleTimeout:       tuning.IdleConnTimeout,
		MaxHeaderBytes:    tuning.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}
