package config_test

import (
	"errors"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/config"
)

func exampleSettings(t *testing.T) string {
	t.Helper()
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
	if s.Node != "drover-0" || len(s.Deployment.Teams) != 1 || s.Deployment.Store.TxnOps != 12 {
		t.Errorf("parsed as %+v", s)
	}
}

// parseChanged parses the example settings with one text in them replaced.
func parseChanged(t *testing.T, old, replacement string) (*config.Settings, error) {
	t.Helper()
	text := exampleSettings(t)
	if !strings.Contains(text, old) {
		t.Fatalf("the example has no %q", old)
	}
	return config.Parse([]byte(strings.Replace(text, old, replacement, 1)))
}

func TestErrorsNameTheField(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`node = "drover-0"`, ``, "node"},
		{`bind = "127.0.0.1:8080"`, `bind = "127.0.0.1"`, "bind"},
		{`lease_s = 12.0`, `lease_s = 0.0`, "deployment.workers.lease_s"},
		{`lease_s = 12.0`, `lease_s = nan`, "deployment.workers.lease_s"},
		{`txn_ops = 12`, `txn_ops = 1`, "deployment.state.txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[deployment.state.next]\ntxn_ops = 1", "deployment.state.next.txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[deployment.state.next]\nvalue_kb = -2.0", "deployment.state.next.value_kb"},
		{`cpus_max = 64.0`, `cpus_max = -1.0`, "deployment.teams[0].cpus_max"},
		{`state = "127.0.0.1:7000"`, ``, "outside.state"},
		{`cpu_share = 1.0`, `cpu_share = -1.0`, "deployment.quota"},
		{`[outside]`, "[[seeds]]\nnode = \"drover-0\"\naddr = \"a:1\"\n[outside]", "seeds[0].node"},
	} {
		t.Run(tc.want, func(t *testing.T) {
			_, err := parseChanged(t, tc.old, tc.new)
			var fieldError *config.FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != tc.want || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%q for %q: %v", tc.new, tc.old, err)
			}
		})
	}
}

func TestDecodeErrorsNameThePosition(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`lease_s = 12.0`, `lease_s = "long"`, "lease_s"},
		{`size = 1`, `size = = 1`, "line"},
	} {
		t.Run(tc.new, func(t *testing.T) {
			if _, err := parseChanged(t, tc.old, tc.new); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%q for %q: %v", tc.new, tc.old, err)
			}
		})
	}
}

// A team for which the file sets no quotas has neither a guarantee nor a limit: when its limits
// of 0 were taken literally, all of its jobs were refused. A team with a CPU limit and no GPU
// limit stays off GPUs.
func TestTeamWithoutFiguresIsUnlimited(t *testing.T) {
	s, err := config.Parse([]byte(exampleSettings(t) + "\n[[deployment.teams]]\nname = \"guest\"\n\n[[deployment.teams]]\nname = \"plain\"\ncpus_max = 8.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	teams := s.Deployment.Teams
	guest, cpuLimited := teams[len(teams)-2], teams[len(teams)-1]
	if guest.GuaranteedCPUs != 0 || !math.IsInf(guest.MaxCPUs, 1) || !math.IsInf(guest.MaxGPUs, 1) {
		t.Errorf("a team without quotas may use %+v", guest)
	}
	if cpuLimited.MaxCPUs != 8 || cpuLimited.MaxGPUs != 0 {
		t.Errorf("a team with only a CPU limit may use %+v", cpuLimited)
	}
}

// Guards against writes that the key-value store rejects or refuses once it has the limits that the
// settings announce: the lower ones are obeyed from the start.
func TestAnnouncedStoreLimitsAreObeyed(t *testing.T) {
	present := config.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 4, TxnOps: 12}
	for _, tc := range []struct {
		name, next string
		want       config.StoreLimits
	}{
		{"none", "", present},
		{"all", "rps = 80.0\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4", config.StoreLimits{RPS: 80, WriteRPS: 15, ValueKB: 2, TxnOps: 4}},
		{"one", "value_kb = 2.0", config.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 2, TxnOps: 12}},
		{"a higher one", "write_rps = 70.0\ntxn_ops = 4", config.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 4, TxnOps: 4}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settings, err := parseChanged(t, "txn_ops = 12\n", "txn_ops = 12\n[deployment.state.next]\n"+tc.next+"\n")
			if err != nil {
				t.Fatal(err)
			}
			got := settings.Deployment.Store
			got.Next = config.AnnouncedStoreLimits{}
			if got != tc.want {
				t.Errorf("limits %+v, want %+v", got, tc.want)
			}
		})
	}
}

// Only the settings below their recommended minimums are listed, each with its value.
func TestShortfallsNameTheField(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{"", "", ""},
		{`value_kb = 4.0`, `value_kb = 2.0`, "deployment.state.value_kb is 2"},
		{`write_rps = 50.0`, `write_rps = 2.0`, "deployment.state.write_rps is 2"},
		{`fd_limit = 1000`, `fd_limit = 100`, "deployment.quota.fd_limit is 100"},
		{`mem_mb = 256.0`, `mem_mb = 20.0`, "deployment.quota.mem_mb is 20"},
		{`lease_s = 12.0`, `lease_s = 1.5`, "deployment.workers.lease_s is 1.5"},
		{`cancel_s = 40.0`, `cancel_s = 12.5`, "deployment.workers.cancel_s is 12.5"},
	} {
		t.Run(tc.new, func(t *testing.T) {
			settings, err := parseChanged(t, tc.old, tc.new)
			if err != nil {
				t.Fatal(err)
			}
			got := settings.Shortfalls()
			if tc.want == "" {
				if len(got) != 0 {
					t.Errorf("%v", got)
				}
				return
			}
			if len(got) != 1 || !strings.HasPrefix(got[0].String(), tc.want) {
				t.Errorf("%v, want %q", got, tc.want)
			}
		})
	}
}

// The objectives of a deployment decide whether scale-out saves cost.
func TestCostSensitiveFollowsObjectives(t *testing.T) {
	objective := func(kind, share string) string {
		return "\n[[deployment.objectives]]\nkind = \"" + kind + "\"\nshare = " + share + "\nwithin_s = 7.0\n"
	}
	guaranteeWithLongDelay := strings.Replace(objective("guarantee", "0.98"), "7.0", "10.0", 1)
	for _, tc := range []struct {
		name       string
		objectives string
		want       bool
	}{
		{"none", "", false},
		{"tight", objective("wait", "0.95") + objective("guarantee", "0.95"), false},
		{"loose wait beside a tight guarantee", objective("wait", "0.8") + objective("guarantee", "0.95"), false},
		{"guarantee with a long delay", objective("wait", "0.95") + guaranteeWithLongDelay, true},
		{"guarantee with a low share", objective("wait", "0.8") + objective("guarantee", "0.8"), true},
		{"price", objective("wait", "0.95") + objective("price", "1.5"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			settings, err := config.Parse([]byte(exampleSettings(t) + tc.objectives))
			if err != nil {
				t.Fatal(err)
			}
			if settings.CostSensitive() != tc.want {
				t.Errorf("cost-sensitive: %v", !tc.want)
			}
			if strings.Contains(tc.objectives, "guarantee") && settings.GuaranteeStartTarget().Seconds() < 7 {
				t.Errorf("start target of work within a guarantee: %v", settings.GuaranteeStartTarget())
			}
		})
	}
}

// Connections are bounded by sockets or by memory, whichever allows fewer, and limits that are
// too low for a number of machines are listed.
func TestCapacityLimits(t *testing.T) {
	for _, tc := range []struct {
		name        string
		share, mem  string
		sockets     string
		connections int
		machines    int
		shortfalls  []string
	}{
		{"no limits", "0.0", "0.0", "0", 0, 1 << 20, nil},
		{"enough for the fleet", "0.072", "212.0", "5000", 4000, 2250, nil},
		{"twice the fleet", "0.072", "212.0", "5000", 4000, 4500, []string{"sockets or memory", "processor"}},
		{"many sockets, little memory", "0.5", "212.0", "50000", 4522, 4600, []string{"sockets or memory"}},
		{"hardly any memory", "0.5", "1.0", "5000", 21, 20, nil},
		{"hardly any processor", "0.01", "512.0", "5000", 4000, 2250, []string{"processor"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			quota := "cpu_share = " + tc.share + "\nmem_mb = " + tc.mem + "\nfd_limit = " + tc.sockets + "\n"
			text := strings.Replace(exampleSettings(t), "cpu_share = 1.0\nmem_mb = 256.0\nfd_limit = 1000\n", quota, 1)
			text = strings.Replace(text, "report_s = 1.0\n", "report_s = 10.0\n", 1)
			settings, err := config.Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			if got := settings.Capacity().ByConnections; got != tc.connections {
				t.Errorf("%d connections, want %d", got, tc.connections)
			}
			got := settings.FleetShortfalls(tc.machines)
			if !slices.EqualFunc(got, tc.shortfalls, strings.HasPrefix) {
				t.Errorf("shortfalls: %q, want %q", got, tc.shortfalls)
			}
		})
	}
}
