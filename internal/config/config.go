// Package config reads and checks the settings file that the platform hands
// over. Unknown fields are ignored.
package config

import (
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the whole file.
type Settings struct {
	Node       string     `toml:"node"`
	Zone       string     `toml:"domain"`
	Bind       string     `toml:"bind"`
	PeerAddr   string     `toml:"mesh_addr"`
	Peers      []Peer     `toml:"seeds"`
	Endpoints  Endpoints  `toml:"outside"`
	Deployment Deployment `toml:"deployment"`
}

// Peer is another controller node.
type Peer struct {
	Name string `toml:"node"`
	Zone string `toml:"domain"`
	Addr string `toml:"addr"`
}

// Endpoints are the addresses of the external services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"` // the key-value store
}

// Deployment describes the cluster that the controllers manage, and the limits of the
// services that they use.
type Deployment struct {
	Size         int            `toml:"size"`
	Zones        []string       `toml:"zones"`
	ClockErrorMS float64        `toml:"clock_error_ms"`
	Teams        []Team         `toml:"teams"`
	Objectives   []Objective    `toml:"objectives"`
	Workers      WorkerTimes    `toml:"workers"`
	Store        StoreLimits    `toml:"state"`
	Cloud        CloudLimits    `toml:"cloud"`
	Quota        ResourceLimits `toml:"quota"`
}

// Team has a quota guarantee and a quota limit. Where the file says 0, a guarantee is none,
// and a limit on CPUs is infinite: a team that may not use any would not be named. A limit
// of 0 on GPUs keeps a team off them, unless none of its figures is set: such a team may
// use what others leave free.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is one service-level objective of the deployment.
type Objective struct {
	Kind             string  `toml:"kind"`
	Class            string  `toml:"class"`
	WithinS          float64 `toml:"within_s"`
	Share            float64 `toml:"share"`
	DeadlineMultiple float64 `toml:"times"` // the multiple of a job's deadline that counts
}

// WorkerTimes are the protocol's times of workers, in seconds.
type WorkerTimes struct {
	HeartbeatS    float64 `toml:"report_s"` // the heartbeat interval
	LeaseS        float64 `toml:"lease_s"`  // how long a worker runs tasks without an answer
	CancellationS float64 `toml:"cancel_s"` // within which tasks of a cancelled job end
}

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// CloudLimits are the limits of the cloud's interface.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"` // by how much a machine list may be out of date
}

// ResourceLimits are the platform's limits on this process; 0 is none.
type ResourceLimits struct {
	CPUShare float64 `toml:"cpu_share"`
	MemMB    float64 `toml:"mem_mb"`
	FDLimit  int     `toml:"fd_limit"`
}

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Parse decodes and checks settings. Errors name the field.
func Parse(raw []byte) (*Settings, error) {
	settings := &Settings{}
	if err := toml.Unmarshal(raw, settings); err != nil {
		return nil, locateDecodeError(err)
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.liftUnsetLimits()
	return settings, nil
}

// locateDecodeError adds the position and the key to an error of the TOML decoder.
func locateDecodeError(err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return err
	}
	row, column := decodeError.Position()
	return fmt.Errorf("line %d, column %d: %v: %w", row, column, decodeError.Key(), decodeError)
}

// liftUnsetLimits makes quota limits infinite that the file leaves unset; see Team.
func (s *Settings) liftUnsetLimits() {
	for i := range s.Deployment.Teams {
		team := &s.Deployment.Teams[i]
		if team.MaxCPUs != 0 {
			continue
		}
		team.MaxCPUs = math.Inf(1)
		if team.GuaranteedGPUs == 0 && team.MaxGPUs == 0 {
			team.MaxGPUs = math.Inf(1)
		}
	}
}

// Seconds converts a duration of the settings to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
