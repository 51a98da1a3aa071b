//go:build review

// Command 8 shows that a controller passes on a peer's answer of whatever age, so that a user who was
// told that a job is cancelled is then told that it runs.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/review/standin2"
)

const (
	tasks         = 4
	runTime       = 40 * time.Second
	settleTime    = 6 * time.Second
	refusedTime   = 3 * time.Second        // before the query; the site has up to 50 s
	partitionTime = 850 * time.Millisecond // the site has up to 15 s
	withdrawAfter = 200 * time.Millisecond
	jobID         = "run-000001"
	cancelled     = "cancelled"
	// Controllers 0 and 2 are in aspen, controller 1 in bison is asked.
	asked = 1
)

// polled is the answer to a query and when it arrived.
type polled struct {
	standin2.Answer
	at time.Duration
}

func main() {
	standin2.RunCase(standin2.Tradeledger(runTime, "aspen", "aspen", "bison", "bison"), run)
}

func run(d *standin2.Deployment) (verdict standin2.Verdict, err error) {
	if err = leadFromAspen(d); err != nil {
		return verdict, err
	}
	if !d.SubmitUntilAccepted(standin2.Tallyrun(jobID, "ledgercrew-00", tasks), 20*time.Second) {
		return verdict, errors.New("the job was not accepted")
	}
	if err = d.AwaitRunning(tasks, 20*time.Second); err != nil {
		return verdict, err
	}
	time.Sleep(settleTime)
	leader, err := d.AwaitLeader()
	if err != nil {
		return verdict, err
	}
	if d.Nodes[leader].Zone() == d.Nodes[asked].Zone() {
		return verdict, errors.New("the controller in bison leads")
	}
	forwarded := make(chan struct{})
	if d.Trouble() {
		d.Record().Printf("case: the state service refuses %s alone", d.Nodes[asked].Name)
		d.State.Refuse(d.Nodes[asked].Name, true)
		partitionWhenForwarded(d, leader, forwarded)
	}
	time.Sleep(refusedTime)
	poll := make(chan polled, 1)
	go func() {
		answer := d.Poll(asked, jobID)
		poll <- polled{answer, d.Record().Now()}
	}()
	if d.Trouble() {
		select {
		case <-forwarded:
		case <-time.After(2 * time.Second):
			return verdict, errors.New("the query was not forwarded to the leader")
		}
	}
	time.Sleep(withdrawAfter)
	withdrawn := d.Withdraw(2-leader, jobID) // at the other controller in aspen
	if withdrawn.Status != http.StatusOK || withdrawn.View.State != cancelled {
		return verdict, fmt.Errorf("the job was not cancelled: %+v", withdrawn)
	}
	toldAt := d.Record().Now()
	if d.Trouble() {
		time.Sleep(partitionTime - withdrawAfter)
		d.Record().Printf("case: the zones reach each other again")
		d.JoinZones()
	}
	answer := <-poll
	d.State.Refuse(d.Nodes[asked].Name, false)
	return judge(toldAt, answer), nil
}

// leadFromAspen restarts the controller in bison if it leads, so that another one does.
func leadFromAspen(d *standin2.Deployment) error {
	leader, err := d.AwaitLeader()
	if err != nil || leader != asked {
		return err
	}
	d.Nodes[asked].Kill()
	time.Sleep(settleTime)
	return d.Nodes[asked].Start()
}

// partitionWhenForwarded partitions the zones once the query has been forwarded to the leader.
func partitionWhenForwarded(d *standin2.Deployment, leader int, forwarded chan<- struct{}) {
	var once sync.Once
	d.MeshLinks(asked, leader)[0].OnSent(func(data []byte) {
		if bytes.Contains(data, []byte("/forward ")) {
			once.Do(func() {
				d.PartitionZones()
				d.Record().Printf("case: %s has passed the query on to %s; the zones cannot reach each other", d.Nodes[asked].Name, d.Nodes[leader].Name)
				close(forwarded)
			})
		}
	})
}

// judge decides by the answer to the query. The user was told at toldAt that the job is cancelled.
func judge(toldAt time.Duration, answer polled) standin2.Verdict {
	if answer.Status == http.StatusOK && answer.View.State != cancelled && answer.at > toldAt {
		return standin2.Verdict{Broken: true, Reason: fmt.Sprintf(
			"%.3f s after its user was told that the job is cancelled, a controller told that it is %s", (answer.at - toldAt).Seconds(), answer.View.State)}
	}
	return standin2.Verdict{Reason: fmt.Sprintf("the query was answered with %d %s, %.3f s from the cancellation", answer.Status, answer.View.State, (answer.at - toldAt).Seconds())}
}
