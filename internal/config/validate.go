package config

import (
	"errors"
	"fmt"
	"net"
)

const (
	// maxNumber bounds the quantities that are checked by positive and inRange.
	maxNumber = 1e9
	// minTxnOps is the number of operations in a transaction that the records of one
	// assignment need.
	minTxnOps = 2
)

// FieldError describes an invalid field of the settings file.
type FieldError struct {
	Field   string
	Problem string
}

// Error states the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// validator collects the errors of all fields.
type validator struct{ errs []error }

func (v *validator) fail(field, format string, args ...any) {
	v.errs = append(v.errs, &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (v *validator) required(field, value string) {
	if value == "" {
		v.fail(field, "missing")
	}
}

func (v *validator) address(field, value string) {
	if value == "" {
		v.fail(field, "missing")
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		v.fail(field, "must be an address with a port, is %q", value)
	}
}

// unique checks that a name is not in seen, and adds it.
func (v *validator) unique(field, name string, seen map[string]bool) {
	if seen[name] {
		v.fail(field, "duplicate name: %q", name)
	}
	seen[name] = true
}

// The number checks below are written so that NaN fails them.

func (v *validator) positive(field string, value float64) {
	if !(value > 0 && value < maxNumber) {
		v.fail(field, "must be above 0, is %v", value)
	}
}

func (v *validator) inRange(field string, value float64) {
	if !(value >= 0 && value < maxNumber) {
		v.fail(field, "out of range: %v", value)
	}
}

func (v *validator) notNegative(field string, values ...float64) {
	for _, value := range values {
		if !(value >= 0) {
			v.fail(field, "must not be negative")
			return
		}
	}
}

// validate returns the errors of all invalid fields, as joined FieldErrors.
func (s *Settings) validate() error {
	v := &validator{}
	s.validateNode(v)
	s.validatePeers(v)
	s.validateEndpoints(v)
	s.Deployment.validateCluster(v)
	s.Deployment.validateTeams(v)
	s.Deployment.validateLimits(v)
	return errors.Join(v.errs...)
}

func (s *Settings) validateNode(v *validator) {
	v.required("node", s.Node)
	v.required("domain", s.Zone)
	v.address("bind", s.Bind)
	v.address("mesh_addr", s.PeerAddr)
}

func (s *Settings) validatePeers(v *validator) {
	seen := map[string]bool{s.Node: true}
	for i, peer := range s.Peers {
		field := fmt.Sprintf("seeds[%d]", i)
		v.required(field+".node", peer.Name)
		v.address(field+".addr", peer.Addr)
		v.unique(field+".node", peer.Name, seen)
	}
}

func (s *Settings) validateEndpoints(v *validator) {
	v.address("outside.cloud", s.Endpoints.Cloud)
	v.address("outside.state", s.Endpoints.Store)
}

func (d *Deployment) validateCluster(v *validator) {
	if len(d.Zones) == 0 {
		v.fail("deployment.zones", "missing")
	}
	v.notNegative("deployment.clock_error_ms", d.ClockErrorMS)
}

func (d *Deployment) validateTeams(v *validator) {
	if len(d.Teams) == 0 {
		v.fail("deployment.teams", "missing")
	}
	seen := map[string]bool{}
	for i, team := range d.Teams {
		field := fmt.Sprintf("deployment.teams[%d]", i)
		v.required(field+".name", team.Name)
		v.unique(field+".name", team.Name, seen)
		v.inRange(field+".cpus", team.GuaranteedCPUs)
		v.inRange(field+".cpus_max", team.MaxCPUs)
		v.inRange(field+".gpus", team.GuaranteedGPUs)
		v.inRange(field+".gpus_max", team.MaxGPUs)
	}
}

func (d *Deployment) validateLimits(v *validator) {
	v.positive("deployment.workers.report_s", d.Workers.HeartbeatS)
	v.positive("deployment.workers.lease_s", d.Workers.LeaseS)
	v.positive("deployment.workers.cancel_s", d.Workers.CancellationS)
	d.Store.validate(v)
	v.positive("deployment.cloud.rps", d.Cloud.RPS)
	v.notNegative("deployment.cloud.list_lag_s", d.Cloud.ListLagS)
	v.notNegative("deployment.quota", d.Quota.MemMB, float64(d.Quota.FDLimit), d.Quota.CPUShare)
}

func (l *StoreLimits) validate(v *validator) {
	v.positive("deployment.state.rps", l.RPS)
	v.positive("deployment.state.write_rps", l.WriteRPS)
	v.positive("deployment.state.value_kb", l.ValueKB)
	v.transactionOps("deployment.state.txn_ops", l.TxnOps)
	v.inRange("deployment.state.next.rps", l.Next.RPS)
	v.inRange("deployment.state.next.write_rps", l.Next.WriteRPS)
	v.inRange("deployment.state.next.value_kb", l.Next.ValueKB)
	if l.Next.TxnOps != 0 {
		v.transactionOps("deployment.state.next.txn_ops", l.Next.TxnOps)
	}
}

func (v *validator) transactionOps(field string, operations int) {
	if operations < minTxnOps {
		v.fail(field, "must be at least %d, is %d", minTxnOps, operations)
	}
}
