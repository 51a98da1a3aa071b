package config

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Kinds of objectives, as the file names them.
const (
	objectivePrice          = "price"
	objectiveUsefulWork     = "useful"
	objectiveStartDelay     = "wait"      // of a class of jobs
	objectiveGuaranteeStart = "guarantee" // of work within a quota guarantee
)

// CostSensitive reports whether scale-out should economise: if price or useful work is an
// objective, or if the objectives on starts are loose. The settings restate the objectives
// on starting and finishing alone, so the looseness of those is the sign that a deployment
// has: one that lets work within a guarantee wait for many seconds, or a tenth of it be
// late, does not ask for capacity that stands ready. Where no objective is on guarantees,
// those on the starts of classes decide.
func (s *Settings) CostSensitive() bool {
	total, loose := map[string]int{}, map[string]int{}
	for _, objective := range s.Deployment.Objectives {
		switch objective.Kind {
		case objectivePrice, objectiveUsefulWork:
			return true
		case objectiveStartDelay, objectiveGuaranteeStart:
			total[objective.Kind]++
			if objective.loose() {
				loose[objective.Kind]++
			}
		}
	}
	for _, kind := range []string{objectiveGuaranteeStart, objectiveStartDelay} {
		if total[kind] > 0 {
			return loose[kind] == total[kind]
		}
	}
	return false
}

// loose reports whether an objective on starts needs no headroom.
func (o *Objective) loose() bool {
	return o.Share < tuning.LooseStartShare || Seconds(o.WithinS) >= tuning.LooseStartDelay
}

// GuaranteeStartTarget is how soon work within a guarantee should start: the
// tightest of the objectives on that, or a default.
func (s *Settings) GuaranteeStartTarget() time.Duration {
	target := time.Duration(0)
	for _, objective := range s.Deployment.Objectives {
		within := Seconds(objective.WithinS)
		if objective.Kind != objectiveGuaranteeStart || within <= 0 {
			continue
		}
		if target == 0 || within < target {
			target = within
		}
	}
	if target == 0 {
		return tuning.DefaultGuaranteeStartTarget
	}
	return target
}
