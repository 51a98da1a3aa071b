package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// restoreAssignments restores the attempts of a stored record. Each may be running, or may
// still be started by a delayed command of an earlier leader, so it is kept at least until its
// worker sends a heartbeat under this term's fencing token or its machine is released.
func (s *Scheduler) restoreAssignments(item wire.KeyValue) {
	b := s.persister.trackBatch(item.Key)
	var err error
	if name, legacy := strings.CutPrefix(item.Key, records.LegacyMachinePrefix); legacy {
		err = s.restoreLegacyMachine(b, name, item.Value)
	} else {
		err = s.restoreBatch(b, item.Value)
	}
	if err != nil {
		s.persister.addUnreadableRecord(b, err)
		return
	}
	b.attemptCount = len(b.neededBy)
	s.persister.deleteIfUnneeded(b)
}

// restoreLegacyMachine restores the attempts of one machine from the record layout that
// preceded batches.
func (s *Scheduler) restoreLegacyMachine(b *assignmentBatch, name string, value wire.Raw) error {
	var record records.LegacyMachine
	if err := wire.Unmarshal(value, &record); err != nil {
		return err
	}
	m := s.restoreMachine(b, recordedMachine{
		name: name, machineType: record.Type, zone: record.Zone, spot: record.Spot, address: record.Address, images: record.Images,
	})
	for _, id := range slices.Sorted(maps.Keys(record.Tasks)) {
		for _, assigned := range record.Tasks[id] {
			s.restoreAttempt(b, m, taskRef{id, assigned.Index}, assigned.Attempt)
		}
	}
	return nil
}

func (s *Scheduler) restoreBatch(b *assignmentBatch, value wire.Raw) error {
	record, err := records.DecodeBatch(value)
	if err != nil {
		return err
	}
	for _, entry := range record.Machines {
		recorded := recordedMachine{
			name: entry.Name, machineType: record.Types[entry.Type], zone: record.Zones[entry.Zone], spot: entry.Spot, address: entry.Address,
		}
		for _, image := range entry.Images {
			recorded.images = append(recorded.images, record.Images[image])
		}
		m := s.restoreMachine(b, recorded)
		for _, run := range entry.Runs {
			jobID := record.Jobs[run[records.RunJobIndex]]
			for i := range run[records.RunTaskCount] {
				s.restoreAttempt(b, m, taskRef{jobID, int(run[records.RunFirstTask] + i)}, record.Base+run[records.RunFirstAttempt]+i)
			}
		}
	}
	return nil
}

// recordedMachine has the fields of a machine in a record.
type recordedMachine struct {
	name, machineType, zone, address string
	spot                             bool
	images                           []string
}

// restoreMachine adds a machine that a record names, unless another record already did.
func (s *Scheduler) restoreMachine(b *assignmentBatch, recorded recordedMachine) *machine {
	m := s.cluster.machines[recorded.name]
	if m == nil {
		m = s.cluster.addMachine(recorded.name, recorded.machineType, recorded.zone, recorded.spot, recorded.address)
		m.phase, m.upAt = machineUp, s.now.Mono
		// The machine sent heartbeats in an earlier term, so the cloud has it, but the list may
		// lag behind. It may be missing from a few more lists before it counts as gone.
		m.cloud.expectedInLists, m.cloud.consecutiveMissedLists = true, -tuning.MissingListThreshold
		s.reconciler.ExpectMachine(recorded.name)
	}
	for _, name := range recorded.images {
		if !m.hasImage(name) {
			m.images = append(m.images, cachedImage{name: name})
		}
	}
	b.addMachine(m)
	return m
}

// restoreAttempt adds an attempt that a record names, unless its task is done or the record of
// a later attempt of the task on the same machine shows that it is gone.
func (s *Scheduler) restoreAttempt(b *assignmentBatch, m *machine, ref taskRef, number uint64) {
	j := s.cluster.jobs[ref.jobID]
	if j != nil && (ref.index >= j.spec.Tasks || j.progress.done.Has(ref.index)) {
		return
	}
	if known := m.tasks[ref]; known != nil {
		switch {
		case known.number == number:
			b.neededBy[known] = true
			known.assignment.batches = append(known.assignment.batches, b)
			return
		case known.number > number:
			return // the later attempt was placed only after this one was proven absent
		}
		s.reconciler.RemoveExpectedAttempt(m.name)
		s.detach(known)
	}
	a := &attempt{
		ref: ref, job: j, machine: m, number: number, placedAt: s.now.Mono,
		assignment: assignmentState{durable: true, batches: []*assignmentBatch{b}},
		//mutation:recovered-attempt-counts-as-sent
		start: startState{sent: true},
	}
	b.neededBy[a] = true
	s.cluster.attach(a)
	a.reconciliation.class = reconcile.MissingUnproven
	s.reconciler.ExpectAttempt(m.name)
	if j == nil || j.cancelled {
		s.cluster.obsoleteAttempts = append(s.cluster.obsoleteAttempts, a)
	}
}

// addUnreadableRecord adds the record of a batch that cannot be decoded. The record may contain an
// attempt of any task that no other record names. See resolveUnreadableRecords.
func (p *persister) addUnreadableRecord(b *assignmentBatch, err error) {
	delete(p.batches, b.key)
	p.unreadableRecords = append(p.unreadableRecords, b.key)
	p.logInfo("assignment record unreadable", "key", b.key, "err", err.Error())
}

// mayBeInUnreadableRecord reports whether an unreadable record may name attempts of the job. As
// long as it may, no task of the job is placed, and the end of the job is not written if it is
// cancelled: attempts that no heartbeat has shown may still run, and a later leader would not
// know which team's quota they count against.
func (p *persister) mayBeInUnreadableRecord(j *job) bool {
	return p.hasUnreadableRecords() && j.recovered
}

func (p *persister) hasUnreadableRecords() bool { return len(p.unreadableRecords) > 0 }

func (p *persister) deleteUnreadableRecords() {
	p.queueDeletion(p.unreadableRecords...)
	p.unreadableRecords = nil
}

// resolveUnreadableRecords deletes the unreadable records once heartbeats have shown all
// attempts that they may name: when the cloud's list has arrived so long after the start of the
// term that it shows all machines from before the term, and each of these machines has sent a
// heartbeat under this term's fencing token.
func (s *Scheduler) resolveUnreadableRecords() {
	if !s.persister.hasUnreadableRecords() || s.autoscaler.listReceivedAt-s.startedAt <= 3*s.settings.CloudListLag {
		return
	}
	for _, m := range s.cluster.machines {
		if !m.confirmed && m.cloud.provisionedAt < s.startedAt {
			return
		}
	}
	s.persister.deleteUnreadableRecords()
	s.placement.due = true
}
