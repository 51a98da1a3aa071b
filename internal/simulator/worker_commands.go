package simulator

import (
	"maps"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Heartbeat returns a heartbeat with the next sequence number.
func (w *Worker) Heartbeat(now time.Duration) wire.Heartbeat {
	w.Sequence++
	heartbeat := wire.Heartbeat{
		Machine: w.Name, Address: w.Address, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.Incarnation, Sequence: w.Sequence, FencingToken: w.FencingToken,
		Tasks: []wire.TaskStatus{},
	}
	if w.interruptionAt > 0 {
		secondsLeft := max(0, (w.interruptionAt - now).Seconds())
		heartbeat.InterruptionInS = &secondsLeft
	}
	for _, id := range w.sortedAttempts() {
		status := w.attempts[id]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: id.task, Attempt: id.number, State: string(status.state), Cause: string(status.cause),
			Checkpointed: status.checkpointed,
		})
	}
	return heartbeat
}

// HandleHeartbeatReply processes the reply to a heartbeat that was sent by the given incarnation
// at the time sentAt. It renews the lease from sentAt on and executes the reply's commands. A
// reply to another incarnation, or with a lower fencing token than a previous one, is not
// accepted, and neither is any reply to a terminated worker.
func (w *Worker) HandleHeartbeatReply(now, sentAt time.Duration, incarnation uint64, reply wire.HeartbeatReply) (accepted bool) {
	w.Advance(now)
	if w.Terminated || incarnation != w.Incarnation || reply.FencingToken < w.FencingToken {
		return false
	}
	w.FencingToken = reply.FencingToken
	w.leaseRenewedAt = max(w.leaseRenewedAt, sentAt)
	w.execute(now, reply.Commands)
	return true
}

// HandleCommands executes the commands of a direct call, unless the call is for another incarnation
// or has a lower fencing token than a previous message. It returns the HTTP status that the protocol
// specifies, and a heartbeat.
func (w *Worker) HandleCommands(now time.Duration, call wire.DirectCommands) (status int, heartbeat wire.Heartbeat) {
	w.Advance(now)
	if call.FencingToken < w.FencingToken || call.Incarnation != w.Incarnation {
		return http.StatusConflict, w.Heartbeat(now)
	}
	w.FencingToken = call.FencingToken
	w.execute(now, call.Commands)
	return http.StatusOK, w.Heartbeat(now)
}

func (w *Worker) execute(now time.Duration, commands []wire.Command) {
	for _, command := range commands {
		id := attemptID{command.Task, command.Attempt}
		status := w.attempts[id]
		switch command.Verb {
		case wire.VerbRun:
			if status == nil {
				w.acceptStart(id)
			}
		case wire.VerbStop:
			if status != nil && status.active() {
				w.stop(now, id, status, command.GracePeriodS)
			}
		case wire.VerbForget:
			if status != nil && !status.active() {
				delete(w.attempts, id)
			}
		}
	}
	w.Advance(now)
}

// stop stops an attempt. A running task saves a checkpoint first if the job has checkpoints and
// the grace period is long enough. A checkpoint that is being saved is aborted only by a stop
// without a grace period.
func (w *Worker) stop(now time.Duration, id attemptID, status *attemptStatus, gracePeriodS *float64) {
	job := w.checker.JobOfTask(id.task)
	immediate := gracePeriodS == nil || *gracePeriodS == 0
	canCheckpoint := gracePeriodS != nil && job.CheckpointIntervalS > 0 && *gracePeriodS >= job.CheckpointSaveS
	switch {
	case status.state == attemptRunning && canCheckpoint:
		status.state = attemptCheckpointing
		status.endsAt = now + time.Duration(job.CheckpointSaveS*float64(time.Second))
	case status.state != attemptCheckpointing || immediate:
		w.exit(id, status, exitStopped)
	}
}

// acceptStart adds an attempt that the worker does not list yet. If the start is refused, the
// attempt is listed as exited.
func (w *Worker) acceptStart(id attemptID) {
	refusal := w.refusalCause(id)
	if refusal != "" {
		w.attempts[id] = &attemptStatus{state: attemptExited, cause: refusal}
		return
	}
	if w.KeepsOneAttempt {
		maps.DeleteFunc(w.attempts, func(other attemptID, _ *attemptStatus) bool { return other.task == id.task })
	}
	w.attempts[id] = &attemptStatus{state: attemptFetching}
}

// refusalCause returns the cause for which the start of an attempt is refused, or "".
func (w *Worker) refusalCause(id attemptID) exitCause {
	job := w.checker.JobOfTask(id.task)
	if job == nil {
		return exitUnknown
	}
	cpus, gpus, memoryGB := job.CPUs, job.GPUs, job.MemoryGB
	for other, status := range w.attempts {
		if !status.active() {
			continue
		}
		if other.task == id.task {
			return exitDuplicate
		}
		otherJob := w.checker.JobOfTask(other.task)
		cpus, gpus, memoryGB = cpus+otherJob.CPUs, gpus+otherJob.GPUs, memoryGB+otherJob.MemoryGB
	}
	if cpus > w.MachineType.CPUs || gpus > w.MachineType.GPUs || memoryGB > w.MachineType.MemoryGB {
		return exitNoCapacity
	}
	return ""
}
