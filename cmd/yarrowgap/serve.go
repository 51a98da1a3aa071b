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

// Run serves until the process receives SIGTERM or SIGINT, or a server fails.
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

// setRuntimeLimits sets the garbage collector's target and, if the platform limits the memory, the
// Go runtime's soft memory limit.
func setRuntimeLimits(quota config.ResourceLimits) {
	debug.SetGCPercent(tuning.GCPercent)
	if quota.MemMB > 0 {
		debug.SetMemoryLimit(int64(quota.MemMB * tuning.MemoryLimitShare * (1 << 20)))
	}
}

// listeners holds the listeners for users and workers, and for peers.
type listeners struct {
	users *limitedListener // for users and workers
	peers net.Listener     // for the other controllers
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
	store := cfg.Deployment.Store
	log.Info("limits of the key-value store", "rps", store.RPS, "write_rps", store.WriteRPS, "value_kb", store.ValueKB, "txn_ops", store.TxnOps,
		"lower_limits_announced", store.Next != config.AnnouncedStoreLimits{})
	for _, objective := range cfg.Deployment.Objectives {
		log.Debug("objective", "kind", objective.Kind, "class", objective.Class, "within_s", objective.WithinS, "share", objective.Share)
	}
}

// process is a running controller with its servers.
type process struct {
	userServer     *httpserver.Server // for users and workers
	peerServer     *http.Server
	serverErrors   chan error // errors of servers that ended without being shut down
	stopController context.CancelFunc
	controllerDone chan struct{}
}

// startProcess starts the servers and the controller. The controller runs until ctx ends or
// shutDown is called.
func startProcess(ctx context.Context, ctl *controller.Controller, listeners *listeners, log *slog.Logger) *process {
	ctx, stopController := context.WithCancel(ctx)
	p := &process{
		userServer:     httpserver.New(api.NewHandler(ctl, log, listeners.users.load), api.NonBlocking, log),
		peerServer:     newPeerServer(api.NewPeerHandler(ctl, log), log),
		serverErrors:   make(chan error, 2),
		stopController: stopController,
		controllerDone: make(chan struct{}),
	}
	ctl.SetRequestBacklog(p.userServer.QueueDelay)
	ctl.SetConnectionCounts(listeners.users.counts)
	p.userServer.SetObserver(api.ObserveHealthChecks(ctl))
	go serve(p.userServer, listeners.users, p.serverErrors)
	go serve(p.peerServer, listeners.peers, p.serverErrors)
	go func() {
		defer close(p.controllerDone)
		ctl.Run(ctx)
	}()
	return p
}

// wait returns nil when ctx ends, or the error of a server that ended before that.
func (p *process) wait(ctx context.Context, log *slog.Logger) error {
	select {
	case err := <-p.serverErrors:
		return err
	case <-ctx.Done():
		log.Info("stopping")
		return nil
	}
}

// shutDown stops the controller, waits for open requests and exports the remaining spans. It gives
// up after tuning.StoreTimeout, and whatever is still running then ends with the process.
func (p *process) shutDown(tracer *tracing.Tracer) error {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.StoreTimeout)
	defer cancel()
	p.stopController()
	_ = p.userServer.Shutdown(ctx)
	_ = p.peerServer.Shutdown(ctx)
	select {
	case <-p.controllerDone:
	case <-ctx.Done():
	}
	return tracer.Close(ctx)
}

// serve runs a server and sends its error to serverErrors, unless the server was shut down.
func serve(server interface{ Serve(net.Listener) error }, listener net.Listener, serverErrors chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		serverErrors <- err
	}
}

// newPeerServer returns the server for the other controllers, which open only a few connections.
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
