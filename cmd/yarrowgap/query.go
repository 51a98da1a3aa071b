package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// controllerFlags is the controller that is asked.
type controllerFlags struct {
	Addr string `required:"" placeholder:"HOST:PORT" env:"YARROWGAP_ADDR" help:"A controller's address for users (bind)."`
	JSON bool   `help:"Print JSON."`
}

type pageFlags struct {
	From string `placeholder:"NAME" help:"List what comes after this name."`
	Most int    `default:"100" help:"How many at the most."`
}

func (p pageFlags) query() string {
	return "?" + url.Values{"from": {p.From}, "most": {fmt.Sprint(p.Most)}}.Encode()
}

// query reads path and either copies the JSON or hands the value to print.
func query[T any](t controllerFlags, path string, w io.Writer, print func(*tabwriter.Writer, T)) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*tuning.ForwardTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+api.OperatorPath+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var e struct{ Error, Leader string }
		_ = json.Unmarshal(body, &e)
		if e.Leader != "" {
			return fmt.Errorf("%s; ask %s", e.Error, e.Leader)
		}
		return fmt.Errorf("status %d: %s", resp.StatusCode, e.Error)
	}
	if t.JSON {
		_, err = fmt.Fprintf(w, "%s\n", body)
		return err
	}
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	print(tw, v)
	return tw.Flush()
}

type leaderCmd struct{ controllerFlags }

func (c leaderCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/leader", w, func(t *tabwriter.Writer, v controller.LeaderView) {
		name := v.Leader
		if name == "" {
			name = "(nobody)"
		}
		fmt.Fprintf(t, "leader\t%s\nterm\t%d\nasked\t%s, up %s\n", name, v.Term, v.Node, time.Duration(v.UpS)*time.Second)
	})
}

type jobCmd struct {
	controllerFlags
	ID string `arg:"" help:"The job's id."`
}

func (c jobCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/jobs/"+url.PathEscape(c.ID), w, func(t *tabwriter.Writer, v scheduler.JobDetail) {
		printJob(t, v)
		if len(v.Attempts) > 0 {
			fmt.Fprintf(t, "\nTASK\tMACHINE\tSTATE\tPROBES\n")
		}
		for _, a := range v.Attempts {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", a.Task, a.Machine, a.State, a.DispatchRetries)
		}
	})
}

func printJob(t *tabwriter.Writer, v scheduler.JobDetail) {
	fmt.Fprintf(t, "%s\t%s", v.ID, v.State)
	if v.Tasks > 0 { // live, and told by the leader
		fmt.Fprintf(t, "\tclass %s\tteam %s\t%d tasks: %d done, %d running, %d waiting", v.Class, v.Team, v.Tasks, v.Done, v.Running, v.Waiting)
	} else {
		fmt.Fprintf(t, "\t%d done", v.Done)
	}
	if v.Reason != "" {
		fmt.Fprintf(t, "\t(%s)", v.Reason)
	}
	fmt.Fprintln(t)
}

type waitingCmd struct {
	controllerFlags
	pageFlags
}

func (c waitingCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/waiting"+c.query(), w, func(t *tabwriter.Writer, v []scheduler.JobDetail) {
		for _, j := range v {
			printJob(t, j)
		}
	})
}

type machinesCmd struct {
	controllerFlags
	pageFlags
}

func (c machinesCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/machines"+c.query(), w, func(t *tabwriter.Writer, v []scheduler.MachineView) {
		fmt.Fprintf(t, "MACHINE\tTYPE\tZONE\tSPOT\tSTATE\tTASKS\tCPUS\tQUIET\n")
		for _, m := range v {
			fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%s\t%d\t%g\t%.1fs\n", m.Name, m.Type, m.Zone, m.Spot, m.State, m.Tasks, m.CPUs, m.HeartbeatAgeS)
		}
	})
}

type failuresCmd struct {
	controllerFlags
	Skip int `help:"Skip this many of the newest."`
	Most int `default:"100" help:"How many at the most."`
}

func (c failuresCmd) Run(w io.Writer) error {
	q := "?" + url.Values{"skip": {fmt.Sprint(c.Skip)}, "most": {fmt.Sprint(c.Most)}}.Encode()
	return query(c.controllerFlags, "/failures"+q, w, func(t *tabwriter.Writer, v []scheduler.Failure) {
		for _, f := range v {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", time.UnixMilli(f.At).UTC().Format(time.RFC3339), f.Task, f.Machine, f.Cause)
		}
	})
}

type metricsCmd struct{ controllerFlags }

func (c metricsCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/metrics", w, func(t *tabwriter.Writer, v map[string]any) {
		for _, k := range slices.Sorted(maps.Keys(v)) {
			if l, ok := v[k].(map[string]any); ok {
				fmt.Fprintf(t, "%s\tp50 %v ms, p99 %v ms, max %v ms (of %v)\n", k, l["p50_ms"], l["p99_ms"], l["max_ms"], l["count"])
			} else {
				fmt.Fprintf(t, "%s\t%v\n", k, v[k])
			}
		}
	})
}
