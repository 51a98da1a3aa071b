package simulator

import "github.com/yarrowgap/yarrowgap/wire"

// submission is the form in which users submit a job. Unlike wire.Job, its encoding contains every
// field, including fields without a value.
type submission struct {
	ID                  string   `cbor:"uid"`
	Class               string   `cbor:"docket"`
	Team                string   `cbor:"crew"`
	Shape               string   `cbor:"shape"`
	Priority            string   `cbor:"rank"`
	Tasks               int      `cbor:"shifts"`
	CPUs                float64  `cbor:"cpus"`
	GPUs                float64  `cbor:"gpus"`
	MemoryGB            float64  `cbor:"memory_gb"`
	Image               string   `cbor:"kit"`
	ImageGB             float64  `cbor:"pull_gb"`
	MachineTypes        []string `cbor:"breeds"`
	Zone                *string  `cbor:"pasture"` // always nil: simulated users request no zone
	SameZone            bool     `cbor:"together"`
	SpreadZones         bool     `cbor:"scatter"`
	Spot                bool     `cbor:"loaners"`
	EstimatedRunS       float64  `cbor:"reckon_s"`
	CheckpointIntervalS float64  `cbor:"tally_s"`
	CheckpointSaveS     float64  `cbor:"stow_s"`
	DeadlineS           *float64 `cbor:"due_s"`
}

// EncodeSubmission encodes a job in the form in which users submit it. Its zone is left out.
func EncodeSubmission(job *wire.Job) ([]byte, error) {
	return wire.Marshal(submission{
		ID: job.ID, Class: job.Class, Team: job.Team, Shape: job.Shape, Priority: job.Priority, Tasks: job.Tasks,
		CPUs: job.CPUs, GPUs: job.GPUs, MemoryGB: job.MemoryGB, Image: job.Image, ImageGB: job.ImageGB,
		MachineTypes: job.MachineTypes, SameZone: job.SameZone, SpreadZones: job.SpreadZones, Spot: job.Spot,
		EstimatedRunS: job.EstimatedRunS, CheckpointIntervalS: job.CheckpointIntervalS,
		CheckpointSaveS: job.CheckpointSaveS, DeadlineS: job.DeadlineS,
	})
}
