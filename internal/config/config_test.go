package config_test

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/config"
)

func exampleSettings(t *testing.T) string {
	b, err := os.ReadFile("../../examples/local.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	s, err := config.Parse([]byte("later = 1\n" + exampleSettings(t) + "\n[deployment.later]\nx = [1, 2]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "drover-0" || len(s.Deployment.Teams) != 1 || s.Deployment.State.TxnOps != 12 {
		t.Errorf("read as %+v", s)
	}
}

func TestErrorsNameTheField(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`node = "drover-0"`, ``, "node"},
		{`bind = "127.0.0.1:8080"`, `bind = "127.0.0.1"`, "bind"},
		{`lease_s = 12.0`, `lease_s = 0.0`, "deployment.workers.lease_s"},
		{`lease_s = 12.0`, `lease_s = "long"`, "lease_s"},
		{`txn_ops = 12`, `txn_ops = 1`, "deployment.state.txn_ops"},
		{`cpus_max = 64.0`, `cpus_max = -1.0`, "deployment.teams[0].cpus_max"},
		{`state = "127.0.0.1:7000"`, ``, "outside.state"},
		{`size = 1`, `size = = 1`, "line"},
	} {
		text := exampleSettings(t)
		if !strings.Contains(text, tc.old) {
			t.Fatalf("the example has no %q", tc.old)
		}
		_, err := config.Parse([]byte(strings.Replace(text, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q for %q: %v", tc.new, tc.old, err)
		}
	}
}

// A team for which the file has no figures is a guest: it is guaranteed nothing and
// limited by nothing. Its jobs were all refused when a limit of 0 was taken at its
// word. A team with a limit on CPUs and none on GPUs stays off GPUs.
func TestTeamWithoutFiguresIsUnlimited(t *testing.T) {
	s, err := config.Parse([]byte(exampleSettings(t) + "\n[[deployment.teams]]\nname = \"guest\"\n\n[[deployment.teams]]\nname = \"plain\"\ncpus_max = 8.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	teams := s.Deployment.Teams
	guest, plain := teams[len(teams)-2], teams[len(teams)-1]
	if guest.GuaranteedCPUs != 0 || !math.IsInf(guest.MaxCPUs, 1) || !math.IsInf(guest.MaxGPUs, 1) {
		t.Errorf("a guest may use %+v", guest)
	}
	if plain.MaxCPUs != 8 || plain.MaxGPUs != 0 {
		t.Errorf("a team with a limit may use %+v", plain)
	}
}

// What is too small to hold is named with its number, and nothing else is.
func TestShortfallsNameTheField(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{"", "", ""},
		{`value_kb = 4.0`, `value_kb = 2.0`, "value_kb is 2"},
		{`write_rps = 50.0`, `write_rps = 2.0`, "write_rps is 2"},
		{`fd_limit = 1000`, `fd_limit = 100`, "fd_limit is 100"},
		{`mem_mb = 256.0`, `mem_mb = 20.0`, "mem_mb is 20"},
		{`lease_s = 12.0`, `lease_s = 1.5`, "lease_s is 1.5"},
		{`cancel_s = 40.0`, `cancel_s = 12.5`, "cancel_s is 12.5"},
	} {
		if !strings.Contains(exampleSettings(t), tc.old) {
			t.Fatalf("the example has no %q", tc.old)
		}
		s, err := config.Parse([]byte(strings.Replace(exampleSettings(t), tc.old, tc.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		got := strings.Join(s.Shortfalls(), "; ")
		if !strings.Contains(got, tc.want) || tc.want == "" && got != "" || strings.Count(got, "deployment.") > 1 {
			t.Errorf("%q: %q", tc.new, got)
		}
	}
}

// The aims that a deployment states decide how it rents.
func TestCostSensitiveFollowsObjectives(t *testing.T) {
	aim := func(kind, share string) string {
		return "\n[[deployment.objectives]]\nkind = \"" + kind + "\"\nshare = " + share + "\nwithin_s = 7.0\n"
	}
	for _, tc := range []struct {
		aims string
		want bool
	}{
		{"", false},
		{aim("wait", "0.95") + aim("guarantee", "0.95"), false},
		{aim("wait", "0.8") + aim("guarantee", "0.95"), false},
		{aim("wait", "0.95") + strings.Replace(aim("guarantee", "0.98"), "7.0", "10.0", 1), true},
		{aim("wait", "0.8") + aim("guarantee", "0.8"), true},
		{aim("wait", "0.95") + aim("price", "1.5"), true},
	} {
		s, err := config.Parse([]byte(exampleSettings(t) + tc.aims))
		if err != nil {
			t.Fatal(err)
		}
		if s.CostSensitive() != tc.want {
			t.Errorf("%q: thrifty %v", tc.aims, !tc.want)
		}
		if strings.Contains(tc.aims, "guarantee") && s.GuaranteeStartTarget().Seconds() < 7 {
			t.Errorf("guarantee within %v", s.GuaranteeStartTarget())
		}
	}
}

// Connections are bounded by sockets and by memory, whichever is less, and what is too
// little for a fleet is named.
func TestCapacityLimits(t *testing.T) {
	for _, tc := range []struct {
		share, mem string
		sockets    string
		conns      int
		machines   int
		short      []string
	}{
		{"0.0", "0.0", "0", 0, 1 << 20, nil},
		{"0.072", "212.0", "5000", 4000, 2250, nil},
		{"0.072", "212.0", "5000", 4000, 4500, []string{"sockets or memory", "processor"}},
		{"0.5", "212.0", "50000", 4522, 4600, []string{"sockets or memory"}},
		{"0.5", "1.0", "5000", 21, 20, nil},
		{"0.01", "512.0", "5000", 4000, 2250, []string{"processor"}},
	} {
		quota := "cpu_share = " + tc.share + "\nmem_mb = " + tc.mem + "\nfd_limit = " + tc.sockets + "\n"
		text := strings.Replace(exampleSettings(t), "cpu_share = 1.0\nmem_mb = 256.0\nfd_limit = 1000\n", quota, 1)
		text = strings.Replace(text, "report_s = 1.0\n", "report_s = 10.0\n", 1)
		s, err := config.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Capacity().ByConnections; got != tc.conns {
			t.Errorf("%s: %d connections, not %d", quota, got, tc.conns)
		}
		got := s.FleetShortfalls(tc.machines)
		if len(got) != len(tc.short) {
			t.Errorf("%s: %q", quota, got)
			continue
		}
		for i := range got {
			if !strings.HasPrefix(got[i], tc.short[i]) {
				t.Errorf("%s: %q", quota, got)
			}
		}
	}
}
