package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// TransactionFault is a fault that is injected into one transaction. With the zero value the
// transaction is committed and answered without a fault.
type TransactionFault struct {
	Delay      time.Duration   // delay before the request reaches the store
	DelayUntil <-chan struct{} // if not nil, the request reaches the store after this is closed
	ReplyLost  bool            // commit the transaction, but send no reply
	Held       bool            // send no reply, and commit only in CommitHeldTransactions
}

func (f TransactionFault) delayed() bool { return f.Delay > 0 || f.DelayUntil != nil }

// waitForDelay blocks until the delay of the request has passed.
func (f TransactionFault) waitForDelay() {
	time.Sleep(f.Delay)
	if f.DelayUntil != nil {
		<-f.DelayUntil
	}
}

// injectedFaults holds the faults that are currently injected into a deployment.
type injectedFaults struct {
	kvStoreDown      bool
	cloudDown        bool
	transactionFault func(wire.Txn) TransactionFault
	heldTransactions []wire.Txn
	watchDelay       func() time.Duration
	partitionedUntil map[string]time.Duration // end of each machine's network partition, by machine name
	hungUntil        map[string]time.Duration // end of each machine's hang, by machine name
	refused          map[string]bool          // controllers that the store refuses, by name
	heartbeatRepeat  func() (delay time.Duration, repeat bool)
	commandDelay     func() (delay time.Duration, delayed bool)
}

// chooseTransactionFault returns the fault to inject into a transaction. While the store is down
// there is none, since the store refuses the transaction anyway.
func (f *injectedFaults) chooseTransactionFault(txn wire.Txn) TransactionFault {
	if f.transactionFault == nil || f.kvStoreDown {
		return TransactionFault{}
	}
	return f.transactionFault(txn)
}

// InjectTransactionFaults makes the store call fault for each transaction, except during an outage,
// and inject the fault that it returns; nil stops the injection. The transaction's values are
// passed to fault as undecoded wire.Raw.
func (d *Deployment) InjectTransactionFaults(fault func(wire.Txn) TransactionFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.transactionFault = fault
}

// DelayWatchReplies makes each watch request call delay and wait for the returned duration
// between reading the changes and sending the reply; nil stops the delays.
func (d *Deployment) DelayWatchReplies(delay func() time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.watchDelay = delay
}

// HeldTransactionCount returns the number of transactions that CommitHeldTransactions would commit.
func (d *Deployment) HeldTransactionCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults.heldTransactions)
}

// CommitHeldTransactions commits the held transactions in the order of their arrival and returns
// their HTTP statuses. The clients receive no reply.
func (d *Deployment) CommitHeldTransactions() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	var statuses []int
	for _, txn := range d.faults.heldTransactions {
		status, _ := d.kvStore.Commit(d.now(), txn)
		statuses = append(statuses, status)
	}
	d.faults.heldTransactions = nil
	return statuses
}

// SetKVStoreLimits changes the limits of the key-value store. What is stored stays readable.
func (d *Deployment) SetKVStoreLimits(limits KVStoreLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kvStore.KVStoreLimits = limits
}

// RejectedTransactions returns how many transactions exceeded the key-value store's limits on
// sizes.
func (d *Deployment) RejectedTransactions() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kvStore.RejectedTransactions()
}

// StartKVStoreOutage makes the key-value store refuse every request; a watch is refused after the
// time for which it may block. No lease expires until EndKVStoreOutage.
func (d *Deployment) StartKVStoreOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.kvStoreDown = true
	d.kvStore.StartOutage()
}

// EndKVStoreOutage makes the key-value store serve requests again and renews its leases.
func (d *Deployment) EndKVStoreOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.kvStoreDown = false
	d.kvStore.EndOutage(d.now())
}

// StartCloudOutage makes the cloud refuse every request.
func (d *Deployment) StartCloudOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.cloudDown = true
}

// TerminateMachine terminates a machine without a release request, as if it had failed. The cloud
// no longer lists it.
func (d *Deployment) TerminateMachine(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[machine].Terminate()
}

// RestartMachine ends all tasks on a machine and starts a new incarnation of its agent.
func (d *Deployment) RestartMachine(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[machine].Restart(d.now())
}

// PartitionMachine simulates a network partition of a machine: for the given duration, its agent
// sends no heartbeats and answers no direct calls. The reply to a heartbeat that was sent before
// still arrives.
func (d *Deployment) PartitionMachine(machine string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.partitionedUntil[machine] = d.now() + duration
}

// HangMachine makes a machine hang for the given duration: its tasks make no progress and its agent
// neither sends heartbeats nor answers.
func (d *Deployment) HangMachine(machine string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.hungUntil[machine] = d.now() + duration
}

// RefuseController makes the key-value store refuse one controller, or serve it again. Its requests
// must come through KVStoreHandlerFor.
func (d *Deployment) RefuseController(name string, refuse bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.refused[name] = refuse
}

// RepeatHeartbeats makes each agent call repeat after a heartbeat and send a copy of it to every
// controller after the returned delay; nil stops the copies.
func (d *Deployment) RepeatHeartbeats(repeat func() (delay time.Duration, repeat bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.heartbeatRepeat = repeat
}

// DelayCommands makes each agent call delayed for direct commands. Delayed commands get no answer
// and are executed after the returned delay; nil stops the delays.
func (d *Deployment) DelayCommands(delayed func() (delay time.Duration, delayed bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.commandDelay = delayed
}

// StartTask starts a task on a machine with a direct command that carries the machine's current
// fencing token, as if an earlier leader had sent it.
func (d *Deployment) StartTask(machine, task string, attemptNumber uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[machine]
	start := wire.Command{Verb: wire.VerbRun, Task: task, Attempt: attemptNumber}
	worker.HandleCommands(d.now(), wire.DirectCommands{
		FencingToken: worker.FencingToken, Incarnation: worker.Incarnation, Commands: []wire.Command{start},
	})
}
