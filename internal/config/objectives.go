package config

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Kinds of objectives, as written in the settings file.
const (
	objectivePrice          = "price"
	objectiveUsefulWork     = "useful"
	objectiveStartDelay     = "wait"      // start delay of the jobs of a class
	objectiveGuaranteeStart = "guarantee" // start delay of work within a quota guarantee
)

// CostSensitive reports whether scale-out should save cost: if price or useful work is an
// objective, or if the objectives on starts are loose. The settings may state only objectives
// on starting and finishing, so loose ones are taken as the sign of a cost-sensitive
// deployment: if work within a guarantee may wait for many seconds, or more than a tenth of it
// may be late, no free capacity has to be kept ready. Where there is no objective on the starts of
// work within a guarantee, the objectives on the starts of job classes decide.
func (s *Settings) CostSensitive() bool {
	total, loose := map[string]int{}, map[string]int{}
	for _, objective := range s.Deployment.Objectives {
		switch objective.Kind {
		case objectivePrice, objectiveUsefulWork:
			return true
		case objectiveStartDelay, objectiveGuaranteeStart:
			total[objective.Kind]++
			if objective.isLoose() {
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

// isLoose reports whether an objective on starts needs no headroom.
func (o *Objective) isLoose() bool {
	return o.Share < tuning.LooseStartShare || Seconds(o.WithinS) >= tuning.LooseStartDelay
}

// GuaranteeStartTarget returns how soon work within a quota guarantee should start: the
// shortest target among the objectives on it, or a default.
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
