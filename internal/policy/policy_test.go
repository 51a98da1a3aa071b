package policy_test

import (
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
)

func TestExampleScript(t *testing.T) {
	s, err := policy.Load("../../examples/operators.star", policy.Defaults(policy.CostSensitive))
	if err != nil {
		t.Fatal(err)
	}
	if s.DefaultDispatchBudget != 2*time.Minute || s.MaxMachines != 64 || s.HeadroomShare != 0.5 || !s.Preempt {
		t.Errorf("evaluated as %+v", s)
	}
	if _, err := policy.Load("../../examples/none.star", policy.Defaults(policy.CostSensitive)); err == nil {
		t.Error("a missing script was loaded")
	}
}

// The deployed script enables reconciliation after failovers; without a script it is off.
func TestReconcileSettings(t *testing.T) {
	s, err := policy.Load("../../deploy/recovery.star", policy.Defaults(policy.CostInsensitive))
	if err != nil || !s.ReconcileRestarts || s.ReconcileWait != 0 || s.TraceFile != "" {
		t.Errorf("evaluated as %+v, %v", s, err)
	}
	s, err = policy.Eval("m.star", "recovery_wait_s = 7.5\ntrace_file = \"-\"", policy.Defaults(policy.CostInsensitive))
	if err != nil || s.ReconcileRestarts || s.ReconcileWait != 7500*time.Millisecond || s.TraceFile != "-" {
		t.Errorf("evaluated as %+v, %v", s, err)
	}
}

func TestEmptyScriptKeepsDefaults(t *testing.T) {
	want := policy.Defaults(policy.CostInsensitive)
	got, err := policy.Eval("empty.star", "", want)
	if err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestScriptErrorsNameTheLine(t *testing.T) {
	for _, tc := range []struct{ src, want string }{
		{"\nack_wait = 1", "m.star:2"},
		{"ack_wait_s = \"1\"", "must be a number, is string"},
		{"ack_wait_s = True", "must be a number, is bool"},
		{"ack_wait_s = -1", "must be from"},
		{"probe_count = 2.5", "whole number"},
		{"use_spot = 1", "True or False"},
		{"\n\nspare_share = ", "m.star:3"},
		{"spare_share = 1 // 0", "division by zero"},
		{"load('x.star', 'y')", "load"},
		{"def f():\n  for i in range(100000000):\n    pass\nf()", "too many steps"},
		{"error_backoff_s = 100\nerror_backoff_max_s = 5", "below error_backoff_s"},
		{"recovery_wait_s = -1", "recovery_wait_s: must be from 0 to 600, is -1"},
		{"recovery_wait_s = 1e9", "must be from"},
		{"recovery = 1", "True or False"},
		{"\nrecovery_bound_s = 3", "m.star:2"},
		{"trace_file = 3", "must be a string"},
		{"x = open('/etc/passwd')", "undefined: open"},
	} {
		t.Run(tc.src, func(t *testing.T) {
			_, err := policy.Eval("m.star", tc.src, policy.Defaults(policy.CostInsensitive))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%q: %v, want %q", tc.src, err, tc.want)
			}
		})
	}
}
