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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/node"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

type serveCmd struct{ inputs }

func (c serveCmd) Run() error {
	log, err := logger(os.Stderr, os.Getenv("LOG_LEVEL"))
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
		debug.SetMemoryLimit(int64(quota.MemMB * tuning.MemoryShare * (1 << 20)))
	}
	users, err := net.Listen("tcp", cfg.Bind)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", cfg.MeshAddr)
	if err != nil {
		return err
	}
	taken, _ := cfg.Sockets()
	listener := limit(users, taken)
	log = log.With("node", cfg.Node)
	for _, s := range cfg.Shortfalls() {
		log.Error("settings fall short", "what", s)
	}
	n := node.New(cfg, pol, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("serving", "bind", cfg.Bind, "mesh", cfg.MeshAddr, "zone", cfg.Zone, "version", version)

	for _, o := range cfg.Deployment.Objectives {
		log.Debug("objective", "kind", o.Kind, "class", o.Class, "within_s", o.WithinS, "share", o.Share)
	}

	failed := make(chan error, 2)
	servers := []*http.Server{serve(listener, api.New(n, log, listener.crowded), log, failed), serve(peers, api.NewMesh(n, log), log, failed)}
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	select {
	case err = <-failed:
		stop()
	case <-ctx.Done():
		log.Info("stopping")
	}
	down, cancel := context.WithTimeout(context.Background(), tuning.StateTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.Shutdown(down)
	}
	select {
	case <-done:
	case <-down.Done():
	}
	return err
}

func serve(l net.Listener, h http.Handler, log *slog.Logger, failed chan<- error) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: tuning.HeaderTimeout,
		ReadTimeout:       tuning.HeaderTimeout + tuning.BodyTimeout,
		IdleTimeout:       tuning.IdleConn,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return s
}

// limited accepts at most a number of connections at once. One over it is
// closed at once, so that its sender can turn to another node.
type limited struct {
	net.Listener
	most int64
	open atomic.Int64
}

func limit(l net.Listener, n int) *limited { return &limited{Listener: l, most: int64(n)} }

// crowded reports whether few more connections will be accepted.
func (l *limited) crowded() bool { return float64(l.open.Load()) > tuning.Crowded*float64(l.most) }

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &limitedConn{Conn: c, leave: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = c.SetDeadline(time.Now())
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	leave func()
}

func (c *limitedConn) Close() error {
	defer c.leave()
	return c.Conn.Close()
}
