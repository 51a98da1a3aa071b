package api_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// heldAnswer is a request whose answer is held up while the user is told the job's final state by
// another controller.
type heldAnswer struct {
	cluster    *cluster
	job        *wire.Job
	completion *delayedWrite // the job is done once this is committed; not written before
	asked      int           // the controller that gets the request
	telling    int           // the controller that tells the final state
}

// Guards against an answer that is older than one that the user got before: a message on its way is
// held up, and meanwhile another controller tells the user that the job is cancelled or done.
func TestOlderStateIsNotGivenAfterFinalState(t *testing.T) {
	c := startAcceptingCluster(t)
	leader := c.leader()
	for k, scenario := range []struct {
		name    string
		request requestKind
		isNew   bool // the request submits the job
		hold    func(h heldAnswer) *heldReply
		end     func(h heldAnswer) string
	}{
		{"a peer's answer to a query, and a cancellation", queryRequest, false, heldAnswer.holdForwardedAnswer, heldAnswer.cancel},
		{"a peer's answer to a query, and the end", queryRequest, false, heldAnswer.holdForwardedAnswer, heldAnswer.complete},
		{"a peer's answer to a repeated submission", submitRequest, false, heldAnswer.holdForwardedAnswer, heldAnswer.cancel},
		{"a controller's own read, and a cancellation", queryRequest, false, heldAnswer.holdOwnRead, heldAnswer.cancel},
		{"a controller's own read, and the end", queryRequest, false, heldAnswer.holdOwnRead, heldAnswer.complete},
		{"the key-value store's answer to a submission", submitRequest, true, heldAnswer.holdCommit, heldAnswer.cancel},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			h := heldAnswer{c, newJob(6000+k, 1), newDelayedWrite(), (leader + 1) % 3, (leader + 2) % 3}
			c.simulation.UploadJob(h.job, 0)
			c.simulation.InjectTransactionFaults(func(txn wire.Txn) simulator.TransactionFault {
				if writesPrefix(txn, records.EndedJobKey(h.job.ID)) {
					return h.completion.fault()
				}
				return simulator.TransactionFault{}
			})
			defer c.simulation.InjectTransactionFaults(nil)
			if !scenario.isNew {
				c.submitUntilAccepted(h.telling, h.job)
				<-h.completion.sent
			}
			held := scenario.hold(h)
			defer c.openGates()
			answer := h.requestUntilHeld(scenario.request, held)
			finalState := scenario.end(h)
			close(held.release)
			if got := <-answer; got.status != http.StatusServiceUnavailable && got.view.State != finalState {
				t.Errorf("after its user was told that the job is %s, it is %q (status %d)", finalState, got.view.State, got.status)
			}
		})
	}
	c.expectNoViolations()
}

// requestUntilHeld sends the request until its answer is held, and returns the channel on which the
// answer to the last one follows. A request may be answered at once, for example while the controller
// forwards nothing to a peer that declined one just before.
func (h heldAnswer) requestUntilHeld(kind requestKind, held *heldReply) <-chan reply {
	user := newHistoryChecker(h.cluster, h.job)
	for end := time.Now().Add(eventuallyTimeout); ; time.Sleep(pollInterval) {
		answer := make(chan reply, 1)
		go func() { answer <- user.perform(h.asked, kind) }()
		select {
		case <-held.handled:
			return answer
		case got := <-answer:
			if time.Now().After(end) {
				h.cluster.tb.Fatalf("%s is not held: %+v", kind, got)
			}
		}
	}
}

// holdForwardedAnswer makes the key-value store refuse the asked controller, and holds the peers'
// answer to the request that it forwards.
func (h heldAnswer) holdForwardedAnswer() *heldReply {
	held := newHeldReply(isForward)
	h.cluster.storeGates[h.asked].set(func(*http.Request) bool { return true }, nil)
	for _, peerGate := range h.cluster.peerGates {
		peerGate.set(nil, held)
	}
	return held
}

// holdOwnRead holds the key-value store's answer to the read of the asked controller.
func (h heldAnswer) holdOwnRead() *heldReply {
	held := newHeldReply(func(r *http.Request) bool {
		return r.URL.Path == "/changes" && r.URL.Query().Get("starts") == records.JobsPrefix
	})
	h.cluster.storeGates[h.asked].set(nil, held)
	return held
}

// holdCommit holds the key-value store's answer to the asked controller's transaction. No peer serves
// the submission that the controller forwards meanwhile.
func (h heldAnswer) holdCommit() *heldReply {
	held := newHeldReply(func(r *http.Request) bool { return r.URL.Path == "/commit" })
	h.cluster.storeGates[h.asked].set(nil, held)
	for _, peerGate := range h.cluster.peerGates {
		peerGate.set(isForward, nil)
	}
	return held
}

func isForward(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, peer.ForwardPath) }

// openGates ends what was refused and held.
func (c *cluster) openGates() {
	for i := range c.storeGates {
		c.storeGates[i].set(nil, nil)
		c.peerGates[i].set(nil, nil)
	}
}

// cancel cancels the job, and returns when the user was told so.
func (h heldAnswer) cancel() string {
	user := newHistoryChecker(h.cluster, h.job)
	user.sendUntilAnswered(h.telling, cancelRequest)
	close(h.completion.commit)
	return user.knownFinalState()
}

// complete waits until the user was told that the job is done.
func (h heldAnswer) complete() string {
	close(h.completion.commit)
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); {
		if state := h.cluster.query(h.telling, h.job.ID).view.State; state == wire.JobDone {
			return state
		}
	}
	h.cluster.tb.Error("the job is not done")
	return ""
}
