package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// monitorState follows the heartbeats of machines and zones as a whole, and pauses of
// this process: what arrives late because of those is nobody else's fault.
type monitorState struct {
	lastHeartbeatAt time.Duration            // of any machine
	zoneHeartbeatAt map[string]time.Duration // before this term, see ZoneHeard
	zoneMissingAt   map[string]time.Duration // when a whole zone last missed its heartbeats
	isolatedFor     time.Duration            // for how long ticks have found no new heartbeat
	tickedAt        time.Duration
	scannedAt       time.Duration // when a tick last scanned all machines
	resumedAt       time.Duration // when this process last resumed after a pause
	loadLoggedAt    time.Duration
}

// SetMachineTypes takes the cloud's machine types.
func (s *Scheduler) SetMachineTypes(now Now, types []wire.MachineType) {
	s.now = now
	for i := range types {
		t := types[i]
		s.cluster.machineTypes[t.Name] = &t
	}
	for _, m := range s.cluster.machines {
		m.machineSpec = s.cluster.machineTypes[m.machineType]
	}
}

// ResignNoHeartbeats is why a leader resigns that serves nobody.
const ResignNoHeartbeats = "no worker reaches this node"

// Tick does what falls due with time.
func (s *Scheduler) Tick(now Now) {
	s.now = now
	if now.Mono-s.monitor.tickedAt > tuning.ProcessPauseThreshold {
		s.monitor.resumedAt = now.Mono
		s.log(false, "this process stood still", "for_s", (now.Mono - s.monitor.tickedAt).Seconds())
	}
	scan := now.Mono-s.monitor.scannedAt >= s.scanInterval()
	if scan {
		s.monitor.scannedAt = now.Mono
		s.scanMachines()
		//mutation:counter-check
		s.watchCounterLimits()
	}
	s.watchIsolation()
	if scan {
		s.scaleIn()
	}
	if now.Mono-s.monitor.loadLoggedAt >= tuning.LoadLogInterval {
		s.monitor.loadLoggedAt = now.Mono
		s.logLoad()
	}
	s.reconciler.Advance(now.Mono)
	s.resolveUnreadableRecords()
	s.compactBatches()
	if now.Mono-s.placement.lastRoundAt >= time.Second {
		s.placement.due = true // capacity may be offered again, machines heard again
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
	if s.monitor.lastHeartbeatAt > s.monitor.tickedAt {
		s.monitor.isolatedFor = 0
	} else {
		s.monitor.isolatedFor += min(s.now.Mono-s.monitor.tickedAt, 2*tuning.TickInterval)
	}
	s.monitor.tickedAt = s.now.Mono
	n := s.upMachineCount()
	if n == 0 {
		// Nobody can be silent. Else the first machine that the cloud lists, after a
		// restart without records, would find that none was heard for long.
		//mutation:isolation-clock-reset
		s.monitor.isolatedFor = 0
		return
	}
	limit := s.settings.HeartbeatInterval * tuning.ResignMissedHeartbeats * tuning.ResignReferenceMachines / time.Duration(max(n, tuning.ResignReferenceMachines))
	if s.monitor.isolatedFor > max(limit, tuning.MinResignSilence) {
		s.effects.Resign = ResignNoHeartbeats
	}
}

// Settle places, writes and rents after any input.
func (s *Scheduler) Settle(now Now) {
	s.now = now
	s.wakeBackedOffJobs()
	if s.placement.due && now.Mono-s.placement.lastRoundAt >= s.placementInterval() {
		s.placement.lastRoundAt = now.Mono
		s.placement.rounds++
		unplaced := s.placePending()
		s.scaleOut(unplaced)
	}
	s.flush()
	for _, name := range s.dispatcher.takeDue() {
		if m := s.cluster.machines[name]; m != nil {
			s.sendDue(m)
		}
	}
}

// placementInterval is the least time between two rounds: a round looks at every machine.
func (s *Scheduler) placementInterval() time.Duration {
	return tuning.MinPlacementInterval + s.scaleByCPUShare(time.Duration(len(s.cluster.machines))*tuning.PlacementIntervalPerMachine)
}

// scanInterval is the least time between two ticks that look at every machine.
func (s *Scheduler) scanInterval() time.Duration {
	return s.scaleByCPUShare(time.Duration(len(s.cluster.machines)) * tuning.ScanIntervalPerMachine)
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
	for j := range s.placement.backingOff {
		if s.now.Mono >= j.retry.at {
			delete(s.placement.backingOff, j)
			j.retry.at = 0
			s.placement.due = true
		}
	}
}

// logLoad says how full the cluster is and what waits for what.
func (s *Scheduler) logLoad() {
	used, total := s.cpuUsage()
	waitingByReason := map[string]int{}
	for _, j := range s.cluster.jobs {
		if n := j.pendingTasks(); n > 0 {
			waitingByReason[j.waiting.reason.String()] += n
		}
	}
	oldest := s.now.Mono
	for _, a := range s.persister.unrecorded {
		if !a.start.sent {
			oldest = min(oldest, a.placedAt)
		}
	}
	if delay := s.now.Mono - oldest; delay > tuning.LateRecordAfter {
		waitingByReason := "starts wait for their records: too few changes a second"
		if s.now.Mono < s.persister.blockedUntil+tuning.StoreRetryDelay {
			waitingByReason = "starts wait for their records: the state service takes no writes"
		}
		s.log(false, waitingByReason, "starts", len(s.persister.unrecorded), "longest_s", delay.Seconds(), "changes_a_second", s.settings.WriteRate)
	}
	for _, name := range slices.Sorted(maps.Keys(s.cluster.usage)) {
		if usage := s.cluster.usage[name]; usage.CPUs > 0 {
			s.log(true, "team load", "team", name, "cpus_used", usage.CPUs, "cpus_max", s.settings.Teams[name].CPUsMax)
		}
	}
	s.log(true, "load", "cpus_used", used, "cpus_total", total, "machines", len(s.cluster.machines), "jobs", len(s.cluster.jobs),
		"no_room", waitingByReason["no machine has room"], "team_limit", waitingByReason["its team is at its limit"], "other", waitingByReason[""],
		"unsettled_s", (s.now.Mono - s.EnforcedCancellationWatermark(s.now.Mono)).Seconds())
}

// PlacementPending reports whether placement waits for its gap to pass.
func (s *Scheduler) PlacementPending() bool { return s.placement.due }

func (s *Scheduler) upMachineCount() int {
	n := 0
	for _, m := range s.cluster.machines {
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
	first, _ := slices.BinarySearchFunc(list, s.dispatcher.probes.nextMachine, func(m *machine, name string) int { return strings.Compare(m.name, name) })
	s.dispatcher.probes.nextMachine = ""
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
	if m.cloud.interruptionAt > 0 {
		s.drainMachine(m)
	}
	due, waiting := false, false
	var expired []*attempt
	for _, a := range m.tasks {
		waiting = waiting || a.start.sent && !a.start.acknowledged
		if a.start.sent && !a.start.acknowledged && !a.stop.requested && a.start.firstSentAt > 0 && a.retry.nextAt <= s.now.Mono && !a.start.callInFlight {
			// The next probe would be sent now: give up if it is too late for it.
			if s.now.Mono >= s.dispatchDeadline(a) {
				expired = append(expired, a)
				continue
			}
			due = true
		}
		if a.stop.requested && s.now.Mono-a.stop.sentAt >= tuning.StopResendInterval {
			due = true
		}
	}
	sortAttempts(expired)
	for _, a := range expired {
		a.retry.abandoned = true
		s.counters.DispatchGiveUps++
		s.log(false, "start never acknowledged, giving up", "task", wire.TaskName(a.ref.jobID, a.ref.index), "machine", m.name, "probes", a.retry.count)
		s.cluster.failures = append(s.cluster.failures, Failure{wire.TaskName(a.ref.jobID, a.ref.index), a.number, m.name, "ack timeout", s.now.Wall})
		s.stopNow(a, StopNeverAcknowledged)
	}
	if due {
		s.sendDue(m)
	}
	heartbeatAge := s.now.Mono - m.connectivity.lastHeartbeatAt
	//mutation:status-probe-when-overdue
	if heartbeatAge > s.heartbeatOverdueAfter() || !m.confirmed || m.connectivity.unreachableSince > 0 || waiting && m.fencing.seenToken < s.fencingToken(m) {
		s.probeStatus(m)
	}
}

// MachinesListed takes the cloud's list, as it was a while ago.
func (s *Scheduler) MachinesListed(now Now, list []wire.ListedMachine) {
	s.now = now
	s.autoscaler.listed, s.autoscaler.listedAt = true, now.Mono
	for _, m := range s.cluster.machines {
		m.cloud.missedLists++
	}
	for i := range list {
		listed := &list[i]
		if s.cluster.released[listed.Name] {
			continue
		}
		m := s.cluster.machines[listed.Name]
		if m == nil {
			m = s.addMachine(listed.Name, listed.Type, listed.Zone, listed.Spot, listed.Address)
			m.cloud.provisionedAt = now.Mono - time.Duration(listed.AgeS*float64(time.Second))
			s.log(false, "machine adopted from the cloud's list", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot, "state", listed.State)
			s.placement.due = true
			if listed.State == wire.MachineRunning && m.cloud.provisionedAt < s.startedAt {
				s.reconciler.ExpectMachine(m.name)
			}
		}
		m.cloud.missedLists, m.cloud.listed = 0, true
		if m.address == "" {
			m.address = listed.Address
		}
		if m.phase == machineBooting && listed.State == wire.MachineRunning && now.Mono-m.knownAt > s.settings.HeartbeatInterval {
			// Up before our term, or its first report went elsewhere: ask it.
			s.markUp(m)
			s.probeStatus(m)
		}
		if listed.State == wire.MachineFailed && !m.cloud.failed {
			m.cloud.failed = true
			s.log(false, "machine failed", "machine", m.name, "tasks", len(m.tasks))
		}
	}
	s.reconciler.CloudListed(now.Mono)
}

func (s *Scheduler) bootTime(machineType string) time.Duration {
	if t := s.cluster.machineTypes[machineType]; t != nil {
		return time.Duration(t.BootS * float64(time.Second))
	}
	return tuning.MinBootTimeout
}
