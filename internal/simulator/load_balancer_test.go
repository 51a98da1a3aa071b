package simulator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// testController is a controller behind a load balancer.
type testController struct {
	server    *httptest.Server
	unhealthy atomic.Bool
	requests  atomic.Int64
}

func newTestControllers(t *testing.T, count int) (controllers []*testController, addrs []string) {
	t.Helper()
	for range count {
		c := &testController{}
		c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path != healthPath:
				c.requests.Add(1)
			case c.unhealthy.Load():
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(c.server.Close)
		controllers = append(controllers, c)
		addrs = append(addrs, c.server.Listener.Addr().String())
	}
	return controllers, addrs
}

// newTestBalancer returns a load balancer that has found all controllers healthy.
func newTestBalancer(t *testing.T, addrs []string) *LoadBalancer {
	t.Helper()
	balancer, err := NewLoadBalancer(t.Context(), addrs, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	for i := range addrs {
		await(t, "a healthy controller", func() bool { return balancer.isHealthy(i) })
	}
	return balancer
}

func (b *LoadBalancer) isHealthy(index int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets[index].health.Healthy()
}

// request sends a request over a new connection and reports whether it was answered.
func request(addr string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + addr + "/job")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until the condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const patience = 30 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(resetPollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("not seen: %s", what)
}

func TestLoadBalancerAvoidsUnhealthyController(t *testing.T) {
	controllers, addrs := newTestControllers(t, 2)
	balancer := newTestBalancer(t, addrs)
	await(t, "requests at both controllers", func() bool {
		return request(balancer.Addr()) && controllers[0].requests.Load() > 0 && controllers[1].requests.Load() > 0
	})
	controllers[0].unhealthy.Store(true)
	isRemoved := func() bool { return !balancer.isHealthy(0) }
	await(t, "the removal of the unhealthy controller", isRemoved)
	before := controllers[0].requests.Load()
	for range 10 {
		if !request(balancer.Addr()) {
			t.Error("a request was not answered")
		}
	}
	if after := controllers[0].requests.Load(); after != before && isRemoved() {
		t.Errorf("the unhealthy controller got %d requests", after-before)
	}
}

func TestLoadBalancerTriesOtherControllersAfterRefusal(t *testing.T) {
	controllers, addrs := newTestControllers(t, 3)
	balancer := newTestBalancer(t, addrs)
	controllers[0].server.Close()
	controllers[1].server.Close()
	for range 5 {
		if !request(balancer.Addr()) {
			t.Error("a request was not answered though one controller accepts connections")
		}
	}
	controllers[2].server.Close()
	if request(balancer.Addr()) {
		t.Error("a request was answered though no controller accepts connections")
	}
}

func TestRefusingLinkAcceptsAgainAtTheSameAddress(t *testing.T) {
	_, addrs := newTestControllers(t, 1)
	link, err := NewLink(addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.RefuseConnections()
	if request(link.Addr()) {
		t.Error("a request passed a link that refuses connections")
	}
	if err := link.AcceptConnections(); err != nil {
		t.Fatal(err)
	}
	if !request(link.Addr()) {
		t.Error("no request passed the link afterwards")
	}
}
