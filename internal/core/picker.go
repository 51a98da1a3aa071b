package core

import (
	"container/heap"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// picker hands out machines for the tasks of one job, the best first.
type picker struct {
	l    *Leader
	j    *job
	z    map[string]int
	same map[*machine]int
	heap picks
	held bool // some machine with room fetches another image
}

type pick struct {
	m     *machine
	score float64
}

type picks []pick

func (p picks) Len() int { return len(p) }

func (p picks) Less(a, b int) bool {
	return p[a].score < p[b].score || p[a].score == p[b].score && p[a].m.name < p[b].m.name
}

func (p picks) Swap(a, b int) { p[a], p[b] = p[b], p[a] }

func (p *picks) Push(x any) { *p = append(*p, x.(pick)) }

func (p *picks) Pop() any {
	x := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return x
}

func (l *Leader) newPicker(r *round, j *job) *picker {
	p := &picker{l: l, j: j, z: j.zones(), same: j.machines()}
	for _, m := range r.roomy {
		if p.open(m) {
			p.heap = append(p.heap, pick{m, l.score(j, m, p.z, p.same[m])})
		}
	}
	switch {
	case len(p.heap) > 0:
	case !p.held:
		j.turnSince = 0
	case j.turnSince == 0:
		j.turnSince = l.now.Mono
	}
	heap.Init(&p.heap)
	return p
}

// open reports whether one more task of the job may go to the machine.
func (p *picker) open(m *machine) bool {
	j, l := p.j, p.l
	if m.keptFor != "" && m.keptFor != j.id && l.now.Mono < m.keptTo && j.rank > 0 {
		return false // room was made here for another job
	}
	if !m.fits(j) || !j.allows(m.typ, m.zone, m.spot) || !j.zoneOpen(p.z, m.zone) {
		return false
	}
	// Fetches side by side share the machine's rate: one after the other, the
	// first is there sooner and the last no later. But a job of which nothing is on any
	// machine does not wait for other jobs' turns for ever.
	//mutation:fetch-wait-bound
	if patient := j.nActive > 0 || j.turnSince == 0 || l.now.Mono-j.turnSince < tuning.FetchTurn; patient &&
		!j.service && !m.has(j.spec.Image) && m.fetchingOther(j.spec.Image) {
		p.held = true
		return false
	}
	return len(m.tasks)+len(m.exited) < tuning.MachineTasks
}

// next gives the best machine, or nil. Scores only grow as tasks are placed, so
// one that is found again as low as it was noted is the lowest.
func (p *picker) next() *machine {
	for len(p.heap) > 0 {
		top := &p.heap[0]
		if !p.open(top.m) {
			heap.Pop(&p.heap)
			continue
		}
		s := p.l.score(p.j, top.m, p.z, p.same[top.m])
		if s <= top.score+epsilon {
			return top.m
		}
		top.score = s
		heap.Fix(&p.heap, 0)
	}
	return nil
}

// took notes that a task went to the machine, which is at the top.
func (p *picker) took(m *machine) {
	p.j.turnSince = 0
	if p.z != nil {
		p.z[m.zone]++
	}
	p.same[m]++
	p.heap[0].score = p.l.score(p.j, m, p.z, p.same[m])
	heap.Fix(&p.heap, 0)
}

// machines counts the attempts of a service by machine.
func (j *job) machines() map[*machine]int {
	same := map[*machine]int{}
	if j.service {
		for _, list := range j.active {
			for _, a := range list {
				same[a.m]++
			}
		}
	}
	return same
}

// holdForWarm reports whether a production service had better wait a moment for
// room on a machine that has its image than fetch it on m: lower work is stopped
// there, which takes a few tens of milliseconds where a fetch takes seconds.
func (l *Leader) holdForWarm(r *round, j *job, m *machine, p *picker) bool {
	if !j.service || j.rank > 0 || m.has(j.spec.Image) || j.spec.ImageGB/max(m.mt.FetchGBs, 0.01) < tuning.WorthWarm {
		return false
	}
	if l.now.Mono-j.waitSince > tuning.WarmWait {
		return false
	}
	// Only where the task would then really go, or the room is made in vain,
	// again and again.
	return l.preempt(r, j, 1, l.score(j, m, p.z, p.same[m])) > 0
}

// allows reports whether the job may use a machine of this description.
func (j *job) allows(typ, zone string, spot bool) bool {
	if spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != zone {
		return false
	}
	if j.spec.Types == nil {
		return true
	}
	for _, t := range j.spec.Types {
		if t == typ {
			return true
		}
	}
	return false
}

// zones counts the job's attempts by zone: all that may be there.
func (j *job) zones() map[string]int {
	if !j.spec.Together && !j.spec.Scatter {
		return nil
	}
	z := map[string]int{}
	for _, list := range j.active {
		for _, a := range list {
			//mutation:zone-counts-unconfirmed-attempts
			z[a.m.zone]++
		}
	}
	return z
}

// zoneOpen reports whether one more task of the job may go to the zone.
func (j *job) zoneOpen(z map[string]int, zone string) bool {
	if j.spec.Together {
		for other, n := range z {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return z[zone] < j.spec.ZoneCap()
}

// usable reports whether tasks may be placed on the machine at all. One that did not
// answer a start has to show that it hears us first, by its token or an answer: else
// what is placed there meanwhile waits with that start.
func (l *Leader) usable(m *machine) bool {
	return (m.unanswered == 0 || m.seenToken >= l.token(m)) &&
		m.phase == up && m.confirmed && !m.failed && m.leaveBy == 0 && m.mt != nil && m.unreachableSince == 0 &&
		m.pauseTo <= l.now.Mono && l.now.Mono-m.heardAt < l.cfg.Report*3
}

func (m *machine) fits(j *job) bool {
	return m.cpus+j.spec.CPUs <= m.mt.CPUs+epsilon &&
		m.gpus+j.spec.GPUs <= m.mt.GPUs+epsilon &&
		m.mem+j.spec.MemoryGB <= m.mt.MemoryGB+epsilon
}

// hasRoom reports whether one more task of the job could go to some machine.
func (l *Leader) hasRoom(j *job) bool {
	r := &round{}
	l.findRoom(r, []*job{j})
	return l.newPicker(r, j).next() != nil
}

// fetchingOther reports whether the machine fetches an image other than this.
func (m *machine) fetchingOther(name string) bool {
	d := m.summarize()
	if _, same := d.fetching[name]; same {
		return len(d.fetching) > 1
	}
	return len(d.fetching) > 0
}

// score is how many seconds, or their worth, a task loses on the machine. z
// counts the job's tasks by zone, same those on the machine.
func (l *Leader) score(j *job, m *machine, z map[string]int, same int) float64 {
	s := 0.0
	d := m.summarize()
	if j.spec.ImageGB > 0 && !m.has(j.spec.Image) {
		fetch := j.spec.ImageGB / max(m.mt.FetchGBs, 0.01)
		others := len(d.fetching)
		if _, shared := d.fetching[j.spec.Image]; shared {
			others--
			if !j.service {
				// Shared with a fetch under way. Not for services: where all
				// that fetch gather on one machine, nothing else is warm when
				// that one is lost.
				fetch /= 2
				others = 0
			}
		}
		s += fetch * float64(1+others)
	}
	if m.suspect > l.now.Mono {
		s += 300
	}
	if j.failedOn[m.name] {
		s += 60
	}
	if j.service {
		// Replicas apart from each other, and services apart from services,
		// so that one machine's end costs little.
		s += 2*float64(same) + 0.3*float64(z[m.zone])
		if l.cfg.Thrifty {
			// Here services share machines, or each blocks one for large tasks.
			if d.services == 0 {
				s++
			}
		} else {
			s += 0.3 * float64(d.services)
		}
		if m.spot {
			s += 5
		}
	} else if m.spot && l.cfg.Thrifty {
		s -= 0.5
	} else if m.spot {
		// It may be taken, and what runs there is lost: the longer the more.
		s += tuning.SpotRisk * j.duration()
	}
	// A full machine is better than two half full ones; without a thrifty aim
	// the difference only breaks ties.
	free := 1 - (m.cpus+j.spec.CPUs)/m.mt.CPUs
	if l.cfg.Thrifty {
		s += 0.5 * free
	} else {
		s += 0.05 * free
	}
	return s
}
