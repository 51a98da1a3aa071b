package scheduler

import (
	"slices"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// scanMachines visits every machine. It begins with the first machine whose status probe was
// postponed since the last scan began because of the limits on probes.
func (s *Scheduler) scanMachines() {
	list := s.cluster.sortedMachines()
	first, _ := slices.BinarySearchFunc(list, s.dispatcher.probes.takeFirstPostponed(), func(m *machine, name string) int { return strings.Compare(m.name, name) })
	for i := range list {
		//mutation:status-probe-rotation
		s.scanMachine(list[(first+i)%len(list)])
	}
}

// scanMachine drains a machine whose spot interruption is announced, sends the starts and stops
// that must be repeated, and abandons dispatches whose deadline has passed. It probes the
// machine's status if its heartbeat is overdue, its tasks are unconfirmed, or commands may not
// have reached it.
func (s *Scheduler) scanMachine(m *machine) {
	if m.phase != machineUp {
		return
	}
	if m.cloud.interruptionAt > 0 {
		s.drainMachine(m)
	}
	due, unacknowledged := false, false
	var expired []*attempt
	for _, a := range m.tasks {
		unacknowledged = unacknowledged || a.start.sent && !a.start.acknowledged
		switch {
		case !s.dispatcher.dispatchRetryDue(a):
		case s.now.Mono >= s.dispatcher.dispatchDeadline(a):
			expired = append(expired, a)
			continue
		default:
			due = true
		}
		if a.stop.requested && s.now.Mono-a.stop.sentAt >= tuning.StopResendInterval {
			due = true
		}
	}
	sortAttempts(expired)
	for _, a := range expired {
		s.abandonDispatch(a)
	}
	if due {
		s.dispatcher.sendDue(m)
	}
	heartbeatAge := s.now.Mono - m.connectivity.lastHeartbeatAt
	//mutation:status-probe-when-overdue
	if heartbeatAge > s.heartbeatOverdueAfter() || !m.confirmed || m.connectivity.unreachableSince > 0 || unacknowledged && m.fencing.highestSeenToken < s.fencingToken(m) {
		s.dispatcher.probeStatus(m, len(s.cluster.machines))
	}
}

// abandonDispatch gives up an attempt whose start was not acknowledged in time. The attempt is
// stopped, since the start may have been executed or may still be. The task is placed again
// once the attempt is proven to be gone.
func (s *Scheduler) abandonDispatch(a *attempt) {
	task := wire.TaskName(a.ref.jobID, a.ref.index)
	a.retry.abandoned = true
	s.counters.DispatchGiveUps++
	s.logInfo("dispatch abandoned: start never acknowledged", "task", task, "attempt", a.number, "machine", a.machine.name, "retries", a.retry.dispatchCount)
	s.cluster.addFailure(Failure{task, a.number, a.machine.name, causeAckTimeout, s.now.Wall})
	s.stopNow(a, StopNeverAcknowledged)
}
