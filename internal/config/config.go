// Package config reads and validates the settings file that the platform provides.
// Unknown fields are ignored.
package config

import (
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings holds the contents of the settings file.
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
// external services that they use.
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

// Team holds the quota guarantee and the quota limit of a team. A guarantee of 0 in the file
// means no guarantee. A CPU limit of 0 means no limit, because a team that may not use any CPU
// would not be listed. A GPU limit of 0 keeps the team off GPUs, unless the team has neither a
// CPU limit nor a GPU guarantee: it may then use the GPUs that other teams leave free.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of the deployment.
type Objective struct {
	Kind             string  `toml:"kind"`
	Class            string  `toml:"class"`
	WithinS          float64 `toml:"within_s"`
	Share            float64 `toml:"share"`
	DeadlineMultiple float64 `toml:"times"` // multiple of a job's deadline that counts
}

// WorkerTimes holds the time limits of the worker protocol, in seconds.
type WorkerTimes struct {
	HeartbeatS    float64 `toml:"report_s"` // interval between heartbeats
	LeaseS        float64 `toml:"lease_s"`  // how long tasks run without an answer to a heartbeat
	CancellationS float64 `toml:"cancel_s"` // time limit for ending the tasks of a cancelled job
}

// StoreLimits holds the limits of the key-value store. Parse lowers them to those in Next.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // requests a second
	WriteRPS float64 `toml:"write_rps"` // writes a second
	ValueKB  float64 `toml:"value_kb"`  // size of a value, in KB
	TxnOps   int     `toml:"txn_ops"`   // operations in a transaction

	// Next holds the limits that the store will have from some moment on, without further notice.
	Next AnnouncedStoreLimits `toml:"next"`
}

// AnnouncedStoreLimits holds future limits of the key-value store; 0 means that a limit stays.
type AnnouncedStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// lowest returns the lower one of each limit and the announced limit. Only these are safe to use at
// any time, since nobody says when the announced limits begin.
func (l StoreLimits) lowest() StoreLimits {
	l.RPS = lowerLimit(l.RPS, l.Next.RPS)
	l.WriteRPS = lowerLimit(l.WriteRPS, l.Next.WriteRPS)
	l.ValueKB = lowerLimit(l.ValueKB, l.Next.ValueKB)
	l.TxnOps = lowerLimit(l.TxnOps, l.Next.TxnOps)
	return l
}

// lowerLimit returns the lower of two limits, or the present one if none is announced.
func lowerLimit[T int | float64](present, announced T) T {
	if announced == 0 {
		return present
	}
	return min(present, announced)
}

// MaxValueBytes returns the limit on the size of a value, in bytes.
func (l StoreLimits) MaxValueBytes() int { return int(l.ValueKB * 1024) }

// CloudLimits holds the limits of the cloud's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests a second
	ListLagS float64 `toml:"list_lag_s"` // maximum age of a machine list, in seconds
}

// ResourceLimits holds the platform's limits on this process; 0 means no limit.
type ResourceLimits struct {
	CPUShare float64 `toml:"cpu_share"` // share of a core
	MemMB    float64 `toml:"mem_mb"`    // memory, in MB
	FDLimit  int     `toml:"fd_limit"`  // open file descriptors
}

// Load reads and validates the settings file at path.
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

// Parse decodes and validates settings. Its errors name the invalid fields or, if the settings
// cannot be decoded, the position and the key.
func Parse(raw []byte) (*Settings, error) {
	settings := &Settings{}
	if err := toml.Unmarshal(raw, settings); err != nil {
		return nil, locateDecodeError(err)
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.makeUnsetLimitsInfinite()
	//mutation:announced-store-limits
	settings.Deployment.Store = settings.Deployment.Store.lowest()
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

// makeUnsetLimitsInfinite sets the quota limits that the file omits to infinity; see Team.
func (s *Settings) makeUnsetLimitsInfinite() {
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

// Seconds converts a number of seconds from the settings to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
