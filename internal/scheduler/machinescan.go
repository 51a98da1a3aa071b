package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// SetMachineTypes takes the cloud's machine types.
func (s *Scheduler) SetMachineTypes(now Now, types []wire.MachineType) {
	s.now = now
	for i := range types {
		t := types[i]
		s.types[t.Name] = &t
	}
	for _, m := range s.machines {
		m.machineSpec = s.types[m.machineType]
	}
}

// ResignNoHeartbeats is why a leader resigns that serves nobody.
const ResignNoHeartbeats = "no worker reaches this node"

// Sequence does what falls due with time.
func (s *Scheduler) Tick(now Now) {
	s.now = now
	if now.Mono-s.tickAt > tuning.ProcessPauseThreshold {
		s.resumedAt = now.Mono
		s.log(false, "this process stood still", "for_s", (now.Mono - s.tickAt).Seconds())
	}
	scan := now.Mono-s.lookedAt >= s.scanInterval()
	if scan {
		s.lookedAt = now.Mono
		s.scanMachines()
		//mutation:counter-check
		s.watchCounterLimits()
	}
	s.watchIsolation()
	if scan {
		s.scaleIn()
	}
	if now.Mono-s.loadAt >= tuning.LoadLogInterval {
		s.loadAt = now.Mono
		s.logLoad()
	}
	s.reconciler.Advance(now.Mono)
	s.resolveUnreadableRecords()
	s.compactBatches()
	if now.Mono-s.placedAt >= time.Second {
		s.dirtyPlace = true // capacity may be offered again, machines heard again
	}
	s.Settle(now)
}

// LeaseHeldUntil tells the leader up to when its lease lasts, if it is not renewed.
func (s *Scheduler) LeaseHeldUntil(until time.Duration) {
	s.leaseHeldUntil = max(s.leaseHeldUntil, until)
}

// holdsLease reports whether the lead is still ours, as far as the lease tells. The
// cloud checks no conditions and no tokens: a process that stood still for longer
// than its lease would find all machines silent when it goes on, and give back
// hundreds that work for its successor.
func (s *Scheduler) holdsLease() bool { return s.now.Mono < s.leaseHeldUntil }

// watchIsolation resigns when no worker reaches us any more. Hundreds of machines
// report within any second, so few seconds tell; waiting for several report
// intervals where these are long would cost the workers their leases, since the
// other nodes send them here all the while. A few machines may just be between
// two reports. Time in which this process stood still does not count: whatever
// came meanwhile has yet to be read.
func (s *Scheduler) watchIsolation() {
	if s.heardAny > s.tickAt {
		s.alone = 0
	} else {
		s.alone += min(s.now.Mono-s.tickAt, 2*tuning.TickInterval)
	}
	s.tickAt = s.now.Mono
	n := s.upMachineCount()
	if n == 0 {
		// Nobody can be silent. Else the first machine that the cloud lists, after a
		// restart without records, would find that none was heard for long.
		//mutation:isolation-clock-reset
		s.alone = 0
		return
	}
	limit := s.settings.HeartbeatInterval * tuning.ResignMissedHeartbeats * tuning.ResignReferenceMachines / time.Duration(max(n, tuning.ResignReferenceMachines))
	if s.alone > max(limit, tuning.MinResignSilence) {
		s.effects.Resign = ResignNoHeartbeats
	}
}

// Settle places, writes and rents after any input.
func (s *Scheduler) Settle(now Now) {
	s.now = now
	s.wakeBackedOffJobs()
	if s.dirtyPlace && now.Mono-s.placedAt >= s.placementInterval() {
		s.placedAt = now.Mono
		s.rounds++
		unplaced := s.placePending()
		s.scaleOut(unplaced)
	}
	s.flush()
	for _, name := range slices.Sorted(maps.Keys(s.pushDue)) {
		delete(s.pushDue, name)
		if m := s.machines[name]; m != nil {
			s.sendDue(m)
		}
	}
}

// placementInterval is the least time between two rounds: a round looks at every machine.
func (s *Scheduler) placementInterval() time.Duration {
	return tuning.MinPlacementInterval + s.scaleByCPUShare(time.Duration(len(s.machines))*tuning.PlacementIntervalPerMachine)
}

// scanInterval is the least time between two ticks that look at every machine.
func (s *Scheduler) scanInterval() time.Duration {
	return s.scaleByCPUShare(time.Duration(len(s.machines)) * tuning.ScanIntervalPerMachine)
}

// scaleByCPUShare stretches what was measured for a process with tuning.ReferenceCPUShare of a core, for
// one that has less: it would spend all of its time on rounds while hundreds of jobs
// wait, and fall behind with reports, so that machines stand empty beside them.
func (s *Scheduler) scaleByCPUShare(d time.Duration) time.Duration {
	if s.isCPULimited() {
		return time.Duration(float64(d) * tuning.ReferenceCPUShare / s.settings.CPUShare)
	}
	return d
}

// wakeBackedOffJobs wakes jobs whose pause after a failure is over.
func (s *Scheduler) wakeBackedOffJobs() {
	for j := range s.pausing {
		if s.now.Mono >= j.retryAt {
			delete(s.pausing, j)
			j.retryAt = 0
			s.dirtyPlace = true
		}
	}
}

// logLoad says how full the cluster is and what waits for what.
func (s *Scheduler) logLoad() {
	used, total := s.cpuUsage()
	waitingByReason := map[string]int{}
	for _, j := range s.jobs {
		if n := j.pendingTasks(); n > 0 {
			waitingByReason[j.why] += n
		}
	}
	oldest := s.now.Mono
	for _, a := range s.toRecord {
		if !a.sent {
			oldest = min(oldest, a.placedAt)
		}
	}
	if delay := s.now.Mono - oldest; delay > tuning.LateRecordAfter {
		waitingByReason := "starts wait for their records: too few changes a second"
		if s.now.Mono < s.holdOff+tuning.StoreRetryDelay {
			waitingByReason = "starts wait for their records: the state service takes no writes"
		}
		s.log(false, waitingByReason, "starts", len(s.toRecord), "longest_s", delay.Seconds(), "changes_a_second", s.settings.WriteRate)
	}
	for _, name := range slices.Sorted(maps.Keys(s.usage)) {
		if usage := s.usage[name]; usage.CPUs > 0 {
			s.log(true, "team load", "team", name, "cpus_used", usage.CPUs, "cpus_max", s.settings.Teams[name].CPUsMax)
		}
	}
	s.log(true, "load", "cpus_used", used, "cpus_total", total, "machines", len(s.machines), "jobs", len(s.jobs),
		"no_room", waitingByReason["no machine has room"], "team_limit", waitingByReason["its team is at its limit"], "other", waitingByReason[""],
		"unsettled_s", (s.now.Mono - s.EnforcedCancellationWatermark(s.now.Mono)).Seconds())
}

// PlacementPending reports whether placement waits for its gap to pass.
func (s *Scheduler) PlacementPending() bool { return s.dirtyPlace }

func (s *Scheduler) upMachineCount() int {
	n := 0
	for _, m := range s.machines {
		if m.phase == machineUp {
			n++
		}
	}
	return n
}

// scanMachines looks at every machine, first at those that found no place for a
// question the last time.
func (s *Scheduler) scanMachines() {
	list := s.sortedMachines()
	first, _ := slices.BinarySearchFunc(list, s.questions.nextMachine, func(m *machine, name string) int { return strings.Compare(m.name, name) })
	s.questions.nextMachine = ""
	for i := range list {
		//mutation:status-probe-rotation
		s.scanMachine(list[(first+i)%len(list)])
	}
}

// scanMachine sends what is due, probes, and gives up on what is lost.
func (s *Scheduler) scanMachine(m *machine) {
	if m.phase != machineUp {
		return
	}
	if m.leaveBy > 0 {
		s.drainMachine(m)
	}
	due, waiting := false, false
	var expired []*attempt
	for _, a := range m.tasks {
		waiting = waiting || a.sent && !a.seen
		if a.sent && !a.seen && !a.halt && a.firstSent > 0 && a.nextProbe <= s.now.Mono && !a.calling {
			// The next probe would be sent now: give up if it is too late for it.
			if s.now.Mono >= s.dispatchDeadline(a) {
				expired = append(expired, a)
				continue
			}
			due = true
		}
		if a.halt && s.now.Mono-a.haltedAt >= tuning.StopResendInterval {
			due = true
		}
	}
	sortAttempts(expired)
	for _, a := range expired {
		a.giveUp = true
		s.counters.DispatchGiveUps++
		s.log(false, "start never acknowledged, giving up", "task", wire.TaskName(a.ref.jobID, a.ref.index), "machine", m.name, "probes", a.probes)
		s.failures = append(s.failures, Failure{wire.TaskName(a.ref.jobID, a.ref.index), a.number, m.name, "ack timeout", s.now.Wall})
		s.stopAttempt(a, false, "start never acknowledged")
	}
	if due {
		s.sendDue(m)
	}
	heartbeatAge := s.now.Mono - m.heardAt
	//mutation:status-probe-when-overdue
	if heartbeatAge > s.heartbeatOverdueAfter() || !m.confirmed || m.unreachableSince > 0 || waiting && m.seenToken < s.fencingToken(m) {
		s.probeStatus(m)
	}
}

// MachinesListed takes the cloud's list, as it was a while ago.
func (s *Scheduler) MachinesListed(now Now, list []wire.ListedMachine) {
	s.now = now
	s.listed, s.listedAt = true, now.Mono
	for _, m := range s.machines {
		m.missing++
	}
	for i := range list {
		listed := &list[i]
		if s.gone[listed.Name] {
			continue
		}
		m := s.machines[listed.Name]
		if m == nil {
			m = s.addMachine(listed.Name, listed.Type, listed.Zone, listed.Spot, listed.Address)
			m.rentedAt = now.Mono - time.Duration(listed.AgeS*float64(time.Second))
			s.log(false, "machine adopted from the cloud's list", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot, "state", listed.State)
			s.dirtyPlace = true
			if listed.State == wire.MachineRunning && m.rentedAt < s.startedAt {
				s.reconciler.ExpectMachine(m.name)
			}
		}
		m.missing, m.listedOnce = 0, true
		if m.address == "" {
			m.address = listed.Address
		}
		if m.phase == machineBooting && listed.State == wire.MachineRunning && now.Mono-m.knownAt > s.settings.HeartbeatInterval {
			// Up before our term, or its first report went elsewhere: ask it.
			s.markUp(m)
			s.probeStatus(m)
		}
		if listed.State == wire.MachineFailed && !m.failed {
			m.failed = true
			s.log(false, "machine failed", "machine", m.name, "tasks", len(m.tasks))
		}
	}
	s.reconciler.CloudListed(now.Mono)
}

func (s *Scheduler) bootTime(machineType string) time.Duration {
	if t := s.types[machineType]; t != nil {
		return time.Duration(t.BootS * float64(time.Second))
	}
	return tuning.MinBootTimeout
}
