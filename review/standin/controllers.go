//go:build review

package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Controllers are the controller processes.
type Controllers struct {
	record    *Record
	root      string // of the repository
	directory string
	run       []string // the command of the deploy file

	Names     []string
	Addresses []string // for users and workers
	Mesh      []string
	settings  []string

	mu       sync.Mutex
	commands []*exec.Cmd
	ended    []chan struct{}
}

// NewControllers prepares processes for a number of controllers, with their addresses.
func NewControllers(record *Record, root, directory string, number int) (*Controllers, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("the deploy file has no run entry")
	}
	c := &Controllers{record: record, root: root, directory: directory, run: strings.Fields(string(found[1]))}
	// Ports of an own loopback address: they stay free while a controller does not run.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for i := range number {
		c.Names = append(c.Names, fmt.Sprintf("drover-%d", i))
		c.Addresses = append(c.Addresses, fmt.Sprintf("%s:%d", ip, 8080+i))
		c.Mesh = append(c.Mesh, fmt.Sprintf("%s:%d", ip, 9080+i))
	}
	c.settings = make([]string, number)
	c.commands = make([]*exec.Cmd, number)
	c.ended = make([]chan struct{}, number)
	return c, nil
}

// AddressOf returns the addresses for users and workers by name.
func (c *Controllers) AddressOf() map[string]string {
	addresses := map[string]string{}
	for i, name := range c.Names {
		addresses[name] = c.Addresses[i]
	}
	return addresses
}

// WriteSettings writes a controller's settings file. deployment is the text from [deployment] on.
func (c *Controllers) WriteSettings(i int, zones []string, state, cloud, deployment string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\ndomain = %q\nbind = %q\nmesh_addr = %q\n\n", c.Names[i], zones[i%len(zones)], c.Addresses[i], c.Mesh[i])
	for k, name := range c.Names {
		if k != i {
			fmt.Fprintf(&b, "[[seeds]]\nnode = %q\ndomain = %q\naddr = %q\n\n", name, zones[k%len(zones)], c.Mesh[k])
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n\n%s", cloud, state, deployment)
	c.settings[i] = filepath.Join(c.directory, c.Names[i]+".toml")
	return os.WriteFile(c.settings[i], []byte(b.String()), 0o600)
}

// Start starts a controller with the command of the deploy file.
func (c *Controllers) Start(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(c.directory, c.Names[i]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	arguments := append(append([]string{}, c.run[1:]...), c.settings[i])
	command := exec.Command(filepath.Join(c.root, c.run[0]), arguments...)
	command.Dir = c.root
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	c.commands[i], c.ended[i] = command, ended
	go func() {
		defer close(ended)
		err := command.Wait()
		_ = log.Close()
		c.record.Logf("%s: process ended: %v", c.Names[i], err)
	}()
	c.record.Logf("%s: process started", c.Names[i])
	return nil
}

// Signal sends a signal to a controller.
func (c *Controllers) Signal(i int, signal syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.commands[i] != nil {
		c.record.Logf("%s: %v", c.Names[i], signal)
		_ = c.commands[i].Process.Signal(signal)
	}
}

// Kill kills a controller and waits for its end.
func (c *Controllers) Kill(i int) {
	c.mu.Lock()
	command, ended := c.commands[i], c.ended[i]
	c.commands[i] = nil
	c.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

// KillAll kills all controllers.
func (c *Controllers) KillAll() {
	for i := range c.Names {
		c.Kill(i)
	}
}

// AllRun reports whether no controller has ended.
func (c *Controllers) AllRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.Names {
		if c.commands[i] == nil {
			return false
		}
		select {
		case <-c.ended[i]:
			return false
		default:
		}
	}
	return true
}

// AwaitHealthy waits until all controllers are healthy.
func (c *Controllers) AwaitHealthy(ctx context.Context, within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		healthy := 0
		for _, address := range c.Addresses {
			if response, err := client.Get("http://" + address + "/healthz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					healthy++
				}
			}
		}
		if healthy == len(c.Addresses) {
			return nil
		}
	}
	return errors.New("the controllers did not get healthy")
}
