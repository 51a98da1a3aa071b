// Command standins serves stand-ins of the outside systems on loopback, for
// trying a controller out, and submits jobs to it.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

type serveCommand struct {
	Listen string            `default:"127.0.0.1:7000" help:"Address of the state service; the cloud is on the next port."`
	Node   map[string]string `default:"drover-0=127.0.0.1:8080" help:"Controllers' addresses by name."`
	Team   string            `default:"crew" help:"The team that may submit."`
	Limit  float64           `default:"64" help:"Its limit in CPUs, by which the rules are checked."`
}

// Run serves until interrupted.
func (c serveCommand) Run() error {
	host, port, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--listen: %s is not a loopback address", host)
	}
	var p int
	if _, err := fmt.Sscan(port, &p); err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	types := []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 32, CacheGB: 40, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 2, Zones: []string{"a", "b"}}}
	site := simulator.NewDeployment(simulator.DeploymentConfig{MachineTypes: types, QuotaLimits: map[string]float64{c.Team: c.Limit}, Controllers: c.Node, BootTime: 2 * time.Second, HeartbeatInterval: time.Second, LeaseDuration: 12 * time.Second})
	failed := make(chan error, 2)
	for addr, h := range map[string]http.Handler{
		c.Listen:                                withUploadHandler(site, site.KVStoreHandler()),
		net.JoinHostPort(host, fmt.Sprint(p+1)): site.CloudHandler(ctx),
	} {
		go func() { failed <- http.ListenAndServe(addr, h) }()
	}
	fmt.Fprintf(os.Stderr, "state service on %s, cloud on port %d\n", c.Listen, p+1)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// withUploadHandler adds the way on which users hand job descriptions to workers.
func withUploadHandler(s *simulator.Deployment, h http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", h)
	m.HandleFunc("POST /upload", func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
		j, err := wire.ParseJob(b)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.UploadJob(j, time.Duration(j.EstimatedRunS*float64(time.Second)))
	})
	return m
}

type submitCommand struct {
	ID      string  `arg:"" help:"The job's id, such as run-000001."`
	To      string  `default:"127.0.0.1:8080" help:"A controller's address."`
	Site    string  `default:"127.0.0.1:7000" help:"The stand-ins' address."`
	Team    string  `default:"crew" help:"The team."`
	Tasks   int     `default:"1" help:"How many tasks."`
	CPUs    float64 `name:"cpus" default:"1" help:"CPUs of each task."`
	Seconds float64 `default:"5" help:"Run time of each task."`
	Service bool    `help:"Tasks run until the job is cancelled."`
}

// Run uploads and submits one job.
func (c submitCommand) Run() error {
	j := wire.Job{ID: c.ID, Class: "trial", Team: c.Team, Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: c.Tasks,
		CPUs: c.CPUs, MemoryGB: 1, Image: "img-1", ImageGB: 1, EstimatedRunS: c.Seconds}
	if c.Service {
		j.Shape, j.Priority, j.EstimatedRunS = wire.ShapeService, wire.PriorityProduction, 0
	}
	raw, err := simulator.EncodeSubmission(&j)
	if err != nil {
		return err
	}
	for _, url := range []string{"http://" + c.Site + "/upload", "http://" + c.To + "/v2/runs"} {
		resp, err := http.Post(url, wire.ContentType, bytes.NewReader(raw))
		if err != nil {
			return err
		}
		b, _ := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody))
		resp.Body.Close()
		if resp.StatusCode >= 300 {
			var e wire.ErrorReply
			_ = wire.Unmarshal(b, &e)
			return fmt.Errorf("%s: %s %s", url, resp.Status, strings.TrimSpace(e.Message))
		}
		var s wire.JobStateReply
		if wire.Unmarshal(b, &s) == nil {
			fmt.Println(s.ID, s.State)
		}
	}
	return nil
}

func main() {
	var c struct {
		Serve  serveCommand  `cmd:"" default:"withargs" help:"Serve the stand-ins."`
		Submit submitCommand `cmd:"" help:"Submit a job to a controller."`
	}
	k := kong.Parse(&c, kong.Name("standins"), kong.Description("Stand-ins of yarrowgap's outside systems."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}
