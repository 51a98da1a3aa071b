package node

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

type peer struct {
	config.Peer
	heard         time.Time // when it was last asked and answered, or asked us
	boot          uint64    // its process
	have          uint64    // up to where we have that process's list of cancellations
	begun         time.Time // the list has all that it told since then
	confirmedAsOf time.Time // as of when we have the list, see asOf
	served        bool      // by the state service, when it was last heard
	born          time.Time // its process's start; zero: not known
	idle          bool      // it does not lead although it should: its process has started anew
	refused       time.Time // last time that it refused a connection
	unable        time.Time // last time that it could not decide a request passed on
	running       map[string]int
}

// leadInfo is what this node knows of the lead.
type leadInfo struct {
	name string // empty: nobody leads, as far as is known
	addr string
	term uint64 // highest term known, of name or of an earlier leader
	// permit is the leader's lease, 0 if not known or no longer to be ended.
	permit uint64
}

// pingPeers keeps up with the other nodes.
func (n *Node) pingPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range n.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sleep(ctx, jitter(tuning.PeerEvery)) {
				n.mu.Lock()
				begun := time.Now()
				ping := mesh.Ping{Node: n.cfg.Node, Boot: n.boot, Leader: n.lead.name, Term: n.lead.term, Served: n.served(),
					Have: p.have, HaveBoot: p.boot}
				n.mu.Unlock()
				pong, err := n.mesh.Ping(ctx, p.Addr, ping)
				if errors.Is(err, syscall.ECONNREFUSED) {
					n.do(func() { p.refused = time.Now() })
				}
				if err != nil {
					continue
				}
				n.do(func() {
					// As of when we asked: a process that stood still since then
					// would take an old answer for a new one.
					if begun.After(p.heard) {
						p.heard, p.served = begun, pong.Served
					}
					p.idle = pong.Leader == p.Name && !pong.Leading
					p.born = begun.Add(-time.Duration(pong.UpMilli) * time.Millisecond)
					if n.leader != nil && n.outlived(p.born) {
						n.leader.PeerOutlived()
					}
					n.leaderKnows()
					p.takeConfirmations(pong, begun, time.Now())
					if n.leader != nil && len(pong.Confirmed) > 0 {
						n.leader.Cancelled(n.now(), pong.Confirmed)
					}
					p.running = pong.Running
					n.hearLead(pong.Leader, pong.Term)
					if pong.Term == n.lead.term && pong.LedMilli > 0 {
						n.led = later(n.led, begun.Add(-time.Duration(pong.LedMilli)*time.Millisecond))
					}
				})
			}
		}()
	}
	wg.Wait()
}

// hearLead takes a peer's word on who leads, if it is newer than ours.
func (n *Node) hearLead(name string, term uint64) {
	if term <= n.lead.term || name == "" {
		return
	}
	if n.leader != nil {
		n.stepDown(n.leader, "a peer knows a later leader")
	}
	n.setLead(name, term)
}

func (n *Node) setLead(name string, term uint64) {
	if n.lead.name != name || n.lead.term != term {
		n.log.Info("leader known", "leader", name, "term", term)
	}
	permit := uint64(0)
	if n.lead.term == term {
		permit = n.lead.permit
	} else {
		// What a leader says to be seen through is so for what it can have started. One
		// that stood still, and does not know yet of the next, reads all cancellations
		// when it goes on, and nothing of that one's tasks: workers that have a later
		// token are kept alive by its leader's word alone.
		//mutation:lost-leadership-ends-keepalive
		n.led = time.Time{}
	}
	n.lead = leadInfo{name: name, term: term, permit: permit}
	if p := n.peers[name]; p != nil {
		n.lead.addr, p.idle = p.Addr, false
	}
}

// Ping answers a peer.
func (n *Node) Ping(p mesh.Ping) mesh.Pong {
	var out mesh.Pong
	n.do(func() {
		if q := n.peers[p.Node]; q != nil {
			q.heard, q.served = time.Now(), p.Served
		}
		n.hearLead(p.Leader, p.Term)
		out = mesh.Pong{Node: n.cfg.Node, Boot: n.boot, Leader: n.lead.name, Term: n.lead.term, Served: n.served(),
			Leading: n.leader != nil, UpMilli: 1 + time.Since(n.start).Milliseconds()}
		if n.leader != nil {
			n.led = later(n.led, n.settledAsOf())
		}
		if age := time.Since(n.led); age < time.Hour {
			out.LedMilli = age.Milliseconds() + 1
		}
		if p.HaveBoot != n.boot {
			p.Have = 0
		}
		out.From, out.Confirmed = n.confirmed.after(p.Have)
		if n.leader != nil {
			out.Running = n.leader.Running()
		}
	})
	return out
}

// watchLeader notices at once when the leader's process ends, and then ends its
// lease, so that nobody has to wait for it to run out. The signs are three: a held
// answer breaks off, new connections are refused, twice, and another peer answers.
// Without the last, it may be a filter between the nodes that refuses; then, and
// when the others are silent too, the lease's own end has to do. The signs may
// mislead all the same; that costs an election, once a while, and no rule, since
// those rest on tokens and conditions and not on the lease's time.
func (n *Node) watchLeader(ctx context.Context) {
	var voted time.Time
	for sleep(ctx, tuning.HoldGap) {
		n.mu.Lock()
		lead, p := n.lead, n.peers[n.lead.name]
		n.mu.Unlock()
		if p == nil || lead.permit == 0 {
			continue
		}
		begun := time.Now()
		if n.mesh.Hold(ctx, p.Addr) == nil || time.Since(begun) >= tuning.HoldFor {
			continue
		}
		if time.Since(voted) < tuning.VoteGap || !n.refuses(ctx, p) || !n.othersAnswer(ctx, p) {
			continue
		}
		n.mu.Lock()
		same := n.lead.term == lead.term && n.leader == nil
		if same {
			n.lead.permit = 0 // once a term
		}
		n.mu.Unlock()
		if same {
			voted = time.Now()
			n.log.Info("the leader's process has ended, ending its lease", "leader", lead.name, "term", lead.term)
			if err := n.state.Revoke(ctx, lead.permit); err != nil {
				n.log.Debug("revoke", "err", err)
			}
		}
	}
}

func (n *Node) probe(ctx context.Context, p *peer) error {
	_, err := n.mesh.Ping(ctx, p.Addr, mesh.Ping{Node: n.cfg.Node, Boot: n.boot, Served: n.served()})
	return err
}

// refuses reports whether the peer refuses two connections in a row.
func (n *Node) refuses(ctx context.Context, p *peer) bool {
	for range 2 {
		if !sleep(ctx, tuning.HoldGap) || !errors.Is(n.probe(ctx, p), syscall.ECONNREFUSED) {
			return false
		}
	}
	return true
}

// othersAnswer reports whether any peer but the given one answers now. Where there
// is no other, there is nobody to ask.
func (n *Node) othersAnswer(ctx context.Context, but *peer) bool {
	if len(n.peers) < 2 {
		return true
	}
	answers := make(chan bool, len(n.peers))
	asked := 0
	for _, p := range n.peers {
		if p != but {
			asked++
			go func() { answers <- n.probe(ctx, p) == nil }()
		}
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}
