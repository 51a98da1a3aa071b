package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// Kinds of faults. Those with a controller concern Fault.Controller, those with machines a share of
// all machines.
const (
	FaultKill            FaultKind = "kill"              // SIGKILL, restarted after the duration
	FaultKillAll         FaultKind = "kill all"          // the same for all controllers
	FaultPause           FaultKind = "pause"             // SIGSTOP, SIGCONT after the duration
	FaultCutPeers        FaultKind = "cut peers"         // two-way cut from the other controllers
	FaultCutPeersOneWay  FaultKind = "cut peers one way" // the other controllers' answers are held
	FaultRefusePeers     FaultKind = "refuse peers"      // all controllers refuse each other's connections
	FaultCutStore        FaultKind = "cut store"         // two-way cut from the key-value store
	FaultCutStoreReplies FaultKind = "cut store replies" // requests arrive, answers are held
	FaultCutWorkers      FaultKind = "cut workers"       // workers do not reach the controller
	FaultCutReplies      FaultKind = "cut replies"       // workers' heartbeats arrive, answers are held
	FaultRefuse          FaultKind = "refuse"            // the key-value store refuses the controller
	FaultOutage          FaultKind = "outage"            // the key-value store refuses everybody
	FaultDelayStore      FaultKind = "delay store"       // slow requests to the key-value store
	FaultLowerLimits     FaultKind = "lower limits"      // the key-value store has lower limits than the settings say
	FaultLostReplies     FaultKind = "lost replies"      // transactions are carried out, answers are lost
	FaultLateWrites      FaultKind = "late writes"       // transactions are carried out seconds later
	FaultLateHeartbeats  FaultKind = "late heartbeats"   // copies of heartbeats arrive later
	FaultLateCommands    FaultKind = "late commands"     // direct commands are executed later
	FaultHang            FaultKind = "hang"              // machines hang
	FaultPartition       FaultKind = "partition"         // machines are unreachable
)

// FaultKinds lists all kinds of faults.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultKill, FaultKillAll, FaultPause, FaultCutPeers, FaultCutPeersOneWay, FaultRefusePeers, FaultCutStore, FaultCutStoreReplies,
		FaultCutWorkers, FaultCutReplies, FaultRefuse, FaultOutage, FaultDelayStore, FaultLowerLimits, FaultLostReplies, FaultLateWrites,
		FaultLateHeartbeats, FaultLateCommands, FaultHang, FaultPartition,
	}
}

// atLeader is the Fault.Controller of a fault at the controller that leads when it begins.
const atLeader = -1

// Fault is one fault of a schedule.
type Fault struct {
	At         time.Duration // since the beginning of the schedule
	For        time.Duration
	Kind       FaultKind
	Controller int     // index of the controller; atLeader: the one that leads then
	Share      float64 // of machines, or of messages
}

// End returns when the fault ends, since the beginning of the schedule.
func (f Fault) End() time.Duration { return f.At + f.For }

// String describes the fault in one line.
func (f Fault) String() string {
	target := fmt.Sprintf("controller %d", f.Controller)
	if f.Controller == atLeader {
		target = "the leader"
	}
	return fmt.Sprintf("%6.1f s to %6.1f s  %-18s %s, share %.2f", f.At.Seconds(), f.End().Seconds(), f.Kind, target, f.Share)
}

// Bounds of a drawn schedule.
const (
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 14 * time.Second // longer than the workers' lease
	meanFaultInterval = 4 * time.Second  // two or three faults overlap
	leaderShare       = 0.6              // share of faults that concern the leader
	seriesShare       = 0.15             // share of kills that begin a series of leader changes
	seriesLength      = 4
	seriesInterval    = 1500 * time.Millisecond

	outageSeriesShare    = 0.5 // share of refused peers with outages of the key-value store in a row
	outageSeriesLength   = 4
	outageSeriesDuration = 7 * time.Second // long enough for a load balancer to remove isolated controllers
	outageSeriesInterval = 10 * time.Second
)

// DrawSchedule draws the faults of a run, which all end within the given time.
func DrawSchedule(rng *rand.Rand, controllers int, within time.Duration) []Fault {
	var faults []Fault
	kinds := FaultKinds()
	for at := time.Duration(0); at < within; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		fault := Fault{
			At: at, For: drawDuration(rng), Kind: kinds[rng.IntN(len(kinds))],
			Controller: drawController(rng, controllers), Share: 0.1 + 0.7*rng.Float64(),
		}
		faults = append(faults, fault)
		if fault.Kind == FaultKill && rng.Float64() < seriesShare {
			faults = append(faults, killSeries(at)...)
		}
		if fault.Kind == FaultRefusePeers && rng.Float64() < outageSeriesShare {
			faults = append(faults, outageSeries(at)...)
		}
	}
	faults = slices.DeleteFunc(faults, func(fault Fault) bool { return fault.At >= within })
	for i := range faults {
		faults[i].For = min(faults[i].For, max(0, within-faults[i].At))
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// killSeries returns kills of leaders in a row, each restarted at once.
func killSeries(from time.Duration) []Fault {
	var faults []Fault
	for i := range seriesLength {
		faults = append(faults, Fault{
			At: from + time.Duration(i+1)*seriesInterval, For: minFaultDuration, Kind: FaultKill, Controller: atLeader,
		})
	}
	return faults
}

// outageSeries returns outages of the key-value store in a row, while peers refuse each other.
func outageSeries(from time.Duration) []Fault {
	faults := []Fault{{At: from, For: outageSeriesLength * outageSeriesInterval, Kind: FaultRefusePeers}}
	for i := range outageSeriesLength {
		faults = append(faults, Fault{At: from + time.Duration(i)*outageSeriesInterval, For: outageSeriesDuration, Kind: FaultOutage})
	}
	return faults
}

// drawDuration draws a duration, short ones more often than long ones.
func drawDuration(rng *rand.Rand) time.Duration {
	share := rng.Float64()
	return minFaultDuration + time.Duration(share*share*float64(maxFaultDuration-minFaultDuration))
}

func drawController(rng *rand.Rand, controllers int) int {
	if rng.Float64() < leaderShare {
		return atLeader
	}
	return rng.IntN(controllers)
}
