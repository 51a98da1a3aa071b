package simulator

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections of a load balancer, as in the protocol.
const (
	acceptTimeout      = 500 * time.Millisecond
	connectionAttempts = 3
	failuresUntilSkip  = 3 // connections in a row that a controller does not accept
	skipTime           = 3 * time.Second
	warmUpTime         = 10 * time.Second
	resetAfter         = 5 * time.Second
	resetPollInterval  = 100 * time.Millisecond
	leastWarmth        = 0.1 // share of its connections that a controller gets when it becomes healthy
	healthPath         = "/healthz"
)

// LoadBalancer forwards users' connections to healthy controllers as the protocol describes. It does
// not look into requests.
type LoadBalancer struct {
	listener  net.Listener
	startedAt time.Time
	checker   *http.Client
	dialer    net.Dialer
	log       func(format string, args ...any)

	mu      sync.Mutex // guards the targets
	targets []*balancerTarget
}

// balancerTarget is a controller behind a load balancer.
type balancerTarget struct {
	addr         string
	health       TargetHealth
	failures     int // connections in a row that it did not accept
	skippedUntil time.Duration
	conns        map[net.Conn]struct{} // open connections of users
	accepted     int                   // connections so far
}

// NewLoadBalancer listens on a free loopback port and forwards to the controllers at addrs until ctx
// ends. log is called when a controller is removed or returns.
func NewLoadBalancer(ctx context.Context, addrs []string, log func(format string, args ...any)) (*LoadBalancer, error) {
	listener, err := ListenLoopback()
	if err != nil {
		return nil, err
	}
	b := &LoadBalancer{
		listener: listener, startedAt: time.Now(), log: log, dialer: net.Dialer{Timeout: acceptTimeout},
		checker: &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, addr := range addrs {
		b.targets = append(b.targets, &balancerTarget{addr: addr, conns: map[net.Conn]struct{}{}})
	}
	for i := range b.targets {
		go b.checkHealth(ctx, i)
	}
	go b.resetRemoved(ctx)
	go b.accept(ctx)
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	return b, nil
}

// Addr returns the address that users connect to.
func (b *LoadBalancer) Addr() string { return b.listener.Addr().String() }

func (b *LoadBalancer) now() time.Duration { return time.Since(b.startedAt) }

// checkHealth checks a controller at intervals until ctx ends.
func (b *LoadBalancer) checkHealth(ctx context.Context, index int) {
	target := b.targets[index]
	for {
		succeeded := b.answersHealthCheck(ctx, target.addr)
		b.mu.Lock()
		before := target.health.Healthy()
		if succeeded {
			target.health.CheckSucceeded(b.now())
		} else {
			target.health.CheckFailed(b.now())
		}
		after, removal := target.health.Healthy(), target.health.Removal()
		b.mu.Unlock()
		if before != after {
			b.log("load balancer: controller %d healthy: %t, last removal %v", index, after, removal)
		}
		if !Sleep(ctx, HealthCheckInterval) {
			return
		}
	}
}

func (b *LoadBalancer) answersHealthCheck(ctx context.Context, addr string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+healthPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.checker.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// resetRemoved closes connections to controllers that have been unhealthy for resetAfter, until ctx
// ends.
func (b *LoadBalancer) resetRemoved(ctx context.Context) {
	for Sleep(ctx, resetPollInterval) {
		b.mu.Lock()
		for _, target := range b.targets {
			health := &target.health
			if health.everHealthy && !health.healthy && b.now()-health.removedAt >= resetAfter {
				for conn := range target.conns {
					_ = conn.Close()
				}
			}
		}
		b.mu.Unlock()
	}
}

func (b *LoadBalancer) accept(ctx context.Context) {
	for {
		user, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.forward(ctx, user)
	}
}

// forward connects a user to a controller and copies both directions. A user for whom no healthy
// controller accepts is disconnected.
func (b *LoadBalancer) forward(ctx context.Context, user net.Conn) {
	defer user.Close()
	target, controller := b.connect(ctx, user)
	if controller == nil {
		return
	}
	defer b.release(target, user)
	defer controller.Close()
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		_, _ = io.Copy(controller, user)
		closeWrite(controller)
	}()
	_, _ = io.Copy(user, controller)
	_ = user.Close()
	<-requestsDone
}

// connect connects a user to one of up to connectionAttempts healthy controllers. The connection is
// nil if none of them accepts.
func (b *LoadBalancer) connect(ctx context.Context, user net.Conn) (*balancerTarget, net.Conn) {
	tried := map[*balancerTarget]bool{}
	for range connectionAttempts {
		target := b.choose(tried)
		if target == nil {
			return nil, nil
		}
		tried[target] = true
		conn, err := b.dialer.DialContext(ctx, "tcp", target.addr)
		if b.connected(target, user, err) {
			return target, conn
		}
	}
	return nil, nil
}

// choose returns the usable controller with the fewest connections, or nil if there is none. A
// controller that has just become healthy gets its share of new connections only after warmUpTime.
func (b *LoadBalancer) choose(tried map[*balancerTarget]bool) *balancerTarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var best *balancerTarget
	var bestLoad float64
	for _, target := range b.targets {
		if tried[target] || !target.health.Healthy() || now < target.skippedUntil {
			continue
		}
		warmth := min(1, float64(now-target.health.healthyAt)/float64(warmUpTime))
		load := float64(1+len(target.conns)) / max(warmth, leastWarmth)
		if best == nil || load < bestLoad || load == bestLoad && target.accepted < best.accepted {
			best, bestLoad = target, load
		}
	}
	return best
}

// connected records whether a controller accepted a user's connection, and reports it.
func (b *LoadBalancer) connected(target *balancerTarget, user net.Conn, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		target.failures = 0
		target.accepted++
		target.conns[user] = struct{}{}
		return true
	}
	target.failures++
	if target.failures >= failuresUntilSkip {
		target.failures, target.skippedUntil = 0, b.now()+skipTime
	}
	return false
}

func (b *LoadBalancer) release(target *balancerTarget, user net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(target.conns, user)
}
