package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// TransactionFault is a fault that is injected into one transaction. The zero value
// means none: the transaction is committed and answered.
type TransactionFault struct {
	Delay      time.Duration   // the request reaches the store this much later
	DelayUntil <-chan struct{} // if not nil, the request reaches the store when this is closed
	ReplyLost  bool            // the transaction is committed, and its reply is lost
	Held       bool            // there is no reply, and CommitHeldTransactions commits it
}

func (f TransactionFault) delayed() bool { return f.Delay > 0 || f.DelayUntil != nil }

// wait blocks while the request is delayed.
func (f TransactionFault) wait() {
	time.Sleep(f.Delay)
	if f.DelayUntil != nil {
		<-f.DelayUntil
	}
}

// injectedFaults are the faults that a deployment suffers now.
type injectedFaults struct {
	kvStoreDown      bool
	cloudDown        bool
	transactionFault func(wire.Txn) TransactionFault
	heldTransactions []wire.Txn
	watchDelay       func() time.Duration
	partitionedUntil map[string]time.Duration // by machine
}

// ofTransaction is the fault that a transaction meets.
func (f *injectedFaults) ofTransaction(txn wire.Txn) TransactionFault {
	if f.transactionFault == nil || f.kvStoreDown {
		return TransactionFault{}
	}
	return f.transactionFault(txn)
}

// InjectTransactionFaults lets fault choose the fault of each transaction from now on;
// nil ends that. The values in a transaction are undecoded, as wire.Raw.
func (d *Deployment) InjectTransactionFaults(fault func(wire.Txn) TransactionFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.transactionFault = fault
}

// DelayWatchReplies lets delay choose the time between the read and the reply of each
// watch request; nil ends that.
func (d *Deployment) DelayWatchReplies(delay func() time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.watchDelay = delay
}

// HeldTransactions counts the transactions that are held.
func (d *Deployment) HeldTransactions() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.faults.heldTransactions)
}

// CommitHeldTransactions commits the held transactions in the order of their arrival and
// returns their statuses, which no client gets.
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

// StartKVStoreOutage makes the key-value store refuse every request.
func (d *Deployment) StartKVStoreOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.kvStoreDown = true
	d.kvStore.StartOutage()
}

// EndKVStoreOutage makes the key-value store serve again.
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

// TerminateMachine ends a machine without an order. The cloud lists it no longer.
func (d *Deployment) TerminateMachine(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[machine].Terminate()
}

// RestartMachine ends all tasks of a machine and begins a new incarnation of its agent.
func (d *Deployment) RestartMachine(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[machine].Restart(d.now())
}

// PartitionMachine cuts a machine off in both directions for a while.
func (d *Deployment) PartitionMachine(machine string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults.partitionedUntil[machine] = d.now() + duration
}

// StartTask starts a task on a machine, as a command of an earlier leader would.
func (d *Deployment) StartTask(machine, task string, attemptNumber uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[machine]
	start := wire.Command{Verb: wire.VerbRun, Task: task, Attempt: attemptNumber}
	worker.HandleCommands(d.now(), wire.DirectCommands{
		FencingToken: worker.FencingToken, Incarnation: worker.Incarnation, Commands: []wire.Command{start},
	})
}
