package simulator

import (
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
		left := max(0, (w.interruptionAt - now).Seconds())
		heartbeat.InterruptionInS = &left
	}
	for _, key := range w.sortedAttempts() {
		task := w.tasks[key]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: key.task, Attempt: key.number, State: string(task.state), Cause: string(task.cause),
			Checkpointed: task.checkpointed,
		})
	}
	return heartbeat
}

// HandleHeartbeatReply takes the reply to a heartbeat that an incarnation sent at a time.
// It renews the lease as of then.
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

// HandleCommands takes a direct call and returns the HTTP status of the protocol with a
// heartbeat.
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
		key := attempt{command.Task, command.Attempt}
		task := w.tasks[key]
		switch command.Verb {
		case wire.VerbRun:
			if task == nil {
				w.acceptStart(key)
			}
		case wire.VerbStop:
			if task != nil && task.active() {
				w.stop(now, key, task, command.GracePeriodS)
			}
		case wire.VerbForget:
			if task != nil && !task.active() {
				delete(w.tasks, key)
			}
		}
	}
	w.Advance(now)
}

// stop ends an attempt: with a checkpoint, if the grace period leaves time for it. A
// checkpoint in progress is only cut short by a stop without a grace period.
func (w *Worker) stop(now time.Duration, key attempt, task *taskStatus, gracePeriodS *float64) {
	job := w.checker.JobOfTask(key.task)
	immediate := gracePeriodS == nil || *gracePeriodS == 0
	canCheckpoint := gracePeriodS != nil && job.CheckpointIntervalS > 0 && *gracePeriodS >= job.CheckpointSaveS
	switch {
	case task.state == taskRunning && canCheckpoint:
		task.state = taskCheckpointing
		task.endsAt = now + time.Duration(job.CheckpointSaveS*float64(time.Second))
	case task.state != taskCheckpointing || immediate:
		w.exit(key, task, exitStopped)
	}
}

// acceptStart takes a start that is new here. A refused one is listed as exited.
func (w *Worker) acceptStart(key attempt) {
	refusal := w.refusalOf(key)
	if refusal != "" {
		w.tasks[key] = &taskStatus{state: taskExited, cause: refusal}
		return
	}
	w.tasks[key] = &taskStatus{state: taskFetching}
}

// refusalOf is the cause for which a start is refused, or empty.
func (w *Worker) refusalOf(key attempt) exitCause {
	job := w.checker.JobOfTask(key.task)
	if job == nil {
		return exitUnknown
	}
	cpus, gpus, memoryGB := job.CPUs, job.GPUs, job.MemoryGB
	for other, task := range w.tasks {
		if !task.active() {
			continue
		}
		if other.task == key.task {
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
