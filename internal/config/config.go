// Package config reads and checks the settings file that the platform hands
// over. Unknown fields are ignored.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Peer is another controller node.
type Peer struct {
	Name string `toml:"node"`
	Zone string `toml:"domain"`
	Addr string `toml:"addr"`
}

// Team has a guarantee and a limit. Where the file says 0 a guarantee is none, and
// so is a limit on CPUs: nothing runs without any, so a team that may have none
// would not be named. A limit of 0 on GPUs keeps a team off them, unless none of its
// figures is set: a guest, who uses what is free.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective restates one aim of the deployment.
type Objective struct {
	Kind             string  `toml:"kind"`
	Class            string  `toml:"class"`
	WithinS          float64 `toml:"within_s"`
	Share            float64 `toml:"share"`
	DeadlineMultiple float64 `toml:"times"` // of a deadline: the multiple that counts
}

// Settings is the whole file.
type Settings struct {
	Node      string `toml:"node"`
	Zone      string `toml:"domain"`
	Bind      string `toml:"bind"`
	PeerAddr  string `toml:"mesh_addr"`
	Peers     []Peer `toml:"seeds"`
	Endpoints struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"outside"`
	Deployment struct {
		Size         int         `toml:"size"`
		Zones        []string    `toml:"zones"`
		ClockErrorMS float64     `toml:"clock_error_ms"`
		Teams        []Team      `toml:"teams"`
		Objectives   []Objective `toml:"objectives"`
		Workers      struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			CPUShare float64 `toml:"cpu_share"`
			MemMB    float64 `toml:"mem_mb"`
			FDLimit  int     `toml:"fd_limit"`
		} `toml:"quota"`
	} `toml:"deployment"`
}

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks settings. Errors name the field.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(b, s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("line %d, column %d: %v: %s", row, col, de.Key(), de.Error())
		}
		return nil, err
	}
	return s, s.validate()
}

func (s *Settings) validate() error {
	var errs []error
	bad := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	name := func(field, v string) {
		if v == "" {
			bad(field, "missing")
		}
	}
	addr := func(field, v string) {
		if v == "" {
			bad(field, "missing")
		} else if _, _, err := net.SplitHostPort(v); err != nil {
			bad(field, "not an address with a port: %q", v)
		}
	}
	positive := func(field string, v float64) {
		if !(v > 0 && v < 1e9) {
			bad(field, "must be above 0, is %v", v)
		}
	}
	name("node", s.Node)
	name("domain", s.Zone)
	addr("bind", s.Bind)
	addr("mesh_addr", s.PeerAddr)
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Peers {
		f := fmt.Sprintf("seeds[%d]", i)
		name(f+".node", p.Name)
		addr(f+".addr", p.Addr)
		if seen[p.Name] {
			bad(f+".node", "named twice: %q", p.Name)
		}
		seen[p.Name] = true
	}
	addr("outside.cloud", s.Endpoints.Cloud)
	addr("outside.state", s.Endpoints.State)
	d := &s.Deployment
	if len(d.Zones) == 0 {
		bad("deployment.zones", "missing")
	}
	if !(d.ClockErrorMS >= 0) {
		bad("deployment.clock_error_ms", "must not be negative")
	}
	teams := map[string]bool{}
	for i, t := range d.Teams {
		f := fmt.Sprintf("deployment.teams[%d]", i)
		name(f+".name", t.Name)
		if teams[t.Name] {
			bad(f+".name", "named twice: %q", t.Name)
		}
		teams[t.Name] = true
		if t.MaxCPUs == 0 {
			d.Teams[i].MaxCPUs = math.Inf(1)
			if t.GuaranteedGPUs == 0 && t.MaxGPUs == 0 {
				d.Teams[i].MaxGPUs = math.Inf(1)
			}
		}
		for _, v := range []struct {
			n string
			v float64
		}{{"cpus", t.GuaranteedCPUs}, {"cpus_max", t.MaxCPUs}, {"gpus", t.GuaranteedGPUs}, {"gpus_max", t.MaxGPUs}} {
			if !(v.v >= 0 && v.v < 1e9) {
				bad(f+"."+v.n, "out of range: %v", v.v)
			}
		}
	}
	if len(d.Teams) == 0 {
		bad("deployment.teams", "missing")
	}
	positive("deployment.workers.report_s", d.Workers.ReportS)
	positive("deployment.workers.lease_s", d.Workers.LeaseS)
	positive("deployment.workers.cancel_s", d.Workers.CancelS)
	positive("deployment.state.rps", d.State.RPS)
	positive("deployment.state.write_rps", d.State.WriteRPS)
	positive("deployment.state.value_kb", d.State.ValueKB)
	if d.State.TxnOps < 2 {
		bad("deployment.state.txn_ops", "must be at least 2, is %d", d.State.TxnOps)
	}
	positive("deployment.cloud.rps", d.Cloud.RPS)
	if !(d.Cloud.ListLagS >= 0) {
		bad("deployment.cloud.list_lag_s", "must not be negative")
	}
	if !(d.Quota.MemMB >= 0) || d.Quota.FDLimit < 0 || !(d.Quota.CPUShare >= 0) {
		bad("deployment.quota", "must not be negative")
	}
	return errors.Join(errs...)
}

// Seconds turns a duration of the settings into one of Go's.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// CostSensitive reports whether renting should economise: if price or useful work is
// an aim, or if the aims on starts are loose. The settings restate the aims on
// starting and finishing alone, so the looseness of those is the sign that a
// deployment has: one that lets work within a guarantee wait for many seconds, or
// a tenth of it be late, does not ask for capacity that stands ready. Where no aim
// is on guarantees, those on the starts of classes decide.
func (s *Settings) CostSensitive() bool {
	starts, loose := map[string]int{}, map[string]int{}
	for _, o := range s.Deployment.Objectives {
		switch o.Kind {
		case "price", "useful":
			return true
		case "wait", "guarantee":
			starts[o.Kind]++
			if o.Share < tuning.LooseStartShare || Seconds(o.WithinS) >= tuning.LooseStartDelay {
				loose[o.Kind]++
			}
		}
	}
	for _, kind := range []string{"guarantee", "wait"} {
		if starts[kind] > 0 {
			return loose[kind] == starts[kind]
		}
	}
	return false
}

// GuaranteeStartTarget is how soon work within a guarantee should start: the
// tightest of the aims on that, or a default.
func (s *Settings) GuaranteeStartTarget() time.Duration {
	d := time.Duration(0)
	for _, o := range s.Deployment.Objectives {
		if w := Seconds(o.WithinS); o.Kind == "guarantee" && w > 0 && (d == 0 || w < d) {
			d = w
		}
	}
	if d == 0 {
		return tuning.DefaultGuaranteeStartTarget
	}
	return d
}
