package core

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// slot is room on a machine that is on its way, or could be rented.
type slot struct {
	typ, zone       string
	spot            bool
	mt              *wire.MachineType
	cpus, gpus, mem float64
}

func (s *slot) take(j *job) bool {
	if !j.allows(s.typ, s.zone, s.spot) || s.cpus+epsilon < j.spec.CPUs || s.gpus+epsilon < j.spec.GPUs || s.mem+epsilon < j.spec.MemoryGB {
		return false
	}
	s.cpus -= j.spec.CPUs
	s.gpus -= j.spec.GPUs
	s.mem -= j.spec.MemoryGB
	return true
}

// amounts is an amount of each resource that is scarce on every machine.
type amounts struct{ cpus, mem float64 }

// leastOf is the least of each amount that any task of the jobs takes.
func leastOf(left []unplaced) amounts {
	least := amounts{math.Inf(1), math.Inf(1)}
	for _, w := range left {
		least.cpus, least.mem = min(least.cpus, w.j.spec.CPUs), min(least.mem, w.j.spec.MemoryGB)
	}
	return least
}

func (s *slot) fits(a amounts) bool { return s.cpus+epsilon >= a.cpus && s.mem+epsilon >= a.mem }

func newSlot(t *wire.MachineType, zone string, spot bool) *slot {
	return &slot{t.Name, zone, spot, t, t.CPUs, t.GPUs, t.MemoryGB}
}

// rentalPlan is what one look at the fleet orders.
type rentalPlan struct {
	l       *Leader
	coming  []*slot // room on machines that are on their way, then on ordered ones
	perZone map[string]int
	count   int // machines that there are, come or are ordered
	orders  map[offer]int
}

// rent asks for machines for what could not be placed, counting those that are
// on their way, and for spare ones where price is no aim.
func (l *Leader) rent(left []unplaced) {
	if len(l.types) == 0 || !l.listed || !l.leads() || l.rentAt > 0 && l.now.Mono-l.rentAt < l.slowed(tuning.RentGap) {
		return
	}
	l.rentAt = l.now.Mono
	p := l.newRentalPlan(left)
	p.cover(left)
	p.coverNextService()
	p.coverSpare()
	p.place()
}

// newRentalPlan counts what there is and what is on its way.
func (l *Leader) newRentalPlan(left []unplaced) *rentalPlan {
	p := &rentalPlan{l: l, perZone: map[string]int{}, orders: map[offer]int{}}
	late := l.lateBoots()
	for _, m := range l.sorted() {
		if m.phase != releasing {
			p.perZone[m.zone]++
			p.count++
		}
		if m.phase == booting && !m.failed && m.mt != nil && !late[m] {
			p.coming = append(p.coming, newSlot(m.mt, m.zone, m.spot))
		}
	}
	//mutation:provisioning-counts-unconfirmed-capacity
	p.coming = append(p.coming, l.unheardRoom(leastOf(left))...)
	for _, name := range slices.Sorted(maps.Keys(l.rentals)) {
		p.expect(l.rentals[name])
	}
	return p
}

// expect counts the machines of a rental without an answer.
func (p *rentalPlan) expect(r *rentalState) {
	t := p.l.types[r.offer.typ]
	if t == nil {
		return
	}
	for range r.count {
		p.coming = append(p.coming, newSlot(t, r.offer.zone, r.offer.spot))
	}
	p.perZone[r.offer.zone] += r.count
	p.count += r.count
}

// order orders the machine that is best for a job, or, without one, as spare. It returns
// nil if there is none to have.
func (p *rentalPlan) order(j *job) *slot {
	if most := p.l.cfg.Policy.MaxMachines; most > 0 && p.count >= most {
		return nil
	}
	o, ok := p.l.bestOffer(j, p.perZone)
	if !ok {
		return nil
	}
	p.orders[o]++
	p.perZone[o.zone]++
	p.count++
	s := newSlot(p.l.types[o.typ], o.zone, o.spot)
	p.coming = append(p.coming, s)
	return s
}

// cover finds room for tasks on what comes, and orders machines for the rest.
func (p *rentalPlan) cover(left []unplaced) {
	least := leastOf(left)
	full := 0 // slots at the front in which nothing of what is left fits any more
	for _, w := range left {
		for full < len(p.coming) && !p.coming[full].fits(least) {
			full++
		}
		n := w.n
		for _, s := range p.coming[full:] {
			if n = s.takeUpTo(w.j, n); n == 0 {
				break
			}
		}
		for n > 0 {
			s := p.order(w.j)
			if s == nil {
				break
			}
			rest := s.takeUpTo(w.j, n)
			if rest == n {
				break
			}
			n = rest
		}
	}
}

// takeUpTo takes room for up to n tasks of the job, and says how many are left.
func (s *slot) takeUpTo(j *job, n int) int {
	for n > 0 && s.take(j) {
		n--
	}
	return n
}

// coverNextService orders a machine if the next service would find no room.
func (p *rentalPlan) coverNextService() {
	s := p.l.newSpare()
	if s.enough() {
		return
	}
	fits := false
	for _, c := range p.coming {
		fits = fits || !c.spot && c.take(s.big)
	}
	if !fits {
		p.order(s.big)
	}
}

// coverSpare orders machines up to the spare capacity that operators want.
func (p *rentalPlan) coverSpare() {
	l := p.l
	if l.cfg.Policy.SpareShare <= 0 {
		return
	}
	used, total := l.capacity()
	for _, r := range l.rentals {
		if t := l.types[r.offer.typ]; t != nil {
			total += t.CPUs * float64(r.count)
		}
	}
	for o, n := range p.orders {
		total += l.types[o.typ].CPUs * float64(n)
	}
	for total < used*(1+l.cfg.Policy.SpareShare) {
		s := p.order(nil)
		if s == nil {
			return
		}
		total += s.mt.CPUs
	}
}

// place sends the orders, a request for each kind of machine.
func (p *rentalPlan) place() {
	for _, o := range slices.SortedFunc(maps.Keys(p.orders), offer.compare) {
		if !p.l.recovery.TakeCloudCall(p.l.now.Mono) {
			return // the rest with a later look
		}
		p.l.order(o, min(p.orders[o], tuning.RentMax))
	}
}

// compare orders offers by type and zone, ordinary machines before spot ones.
func (o offer) compare(other offer) int {
	spot := 0
	switch {
	case o.spot && !other.spot:
		spot = 1
	case !o.spot && other.spot:
		spot = -1
	}
	return cmp.Or(strings.Compare(o.typ, other.typ), strings.Compare(o.zone, other.zone), spot)
}

// lateBoots are the machines that may never come up: they are replaced at once, and
// given back when their patience is over. Not where more are late than came up of
// those rented in the same time: then boots are slow everywhere, more of them would
// be as late, and renting would not end.
func (l *Leader) lateBoots() map[*machine]bool {
	late, came := map[*machine]bool{}, 0
	for _, m := range l.machines {
		boot := l.bootTime(m.typ)
		age := l.now.Mono - m.rentedAt
		switch {
		case age < boot*tuning.BootLate/100 || age > 4*boot:
		case m.phase == booting && !m.failed:
			late[m] = true
		case m.phase == up && m.ours:
			came++
		}
	}
	if len(late) > came {
		return nil
	}
	return late
}

func (l *Leader) order(o offer, n int) {
	l.nextHire++
	// The term makes the name unlike any other leader's, the counter unlike
	// any other of ours: a used name would rent nothing.
	name := fmt.Sprintf("yg-%d-%d", l.term, l.nextHire)
	l.rentals[name] = &rentalState{offer: o, count: n, at: l.now.Mono}
	l.recovery.Ordered(l.now.Mono, recovery.Order{Kind: recovery.OrderRental})
	l.line(false, "renting", "hire", name, "type", o.typ, "zone", o.zone, "spot", o.spot, "count", n)
	l.out.Rent = append(l.out.Rent, Rental{wire.RentRequest{Name: name, Type: o.typ, Zone: o.zone, Spot: o.spot, Count: n}})
}

// bestOffer chooses what to rent for a job, or, without one, as spare.
func (l *Leader) bestOffer(j *job, perZone map[string]int) (offer, bool) {
	var z map[string]int
	if j != nil {
		z = j.zones()
	}
	best, bestScore := offer{}, math.Inf(1)
	for _, t := range l.sortedTypes() {
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				o := offer{t.Name, zone, spot}
				if l.now.Mono < l.noCap[o] || l.asked(o) || spot && !l.cfg.Policy.UseSpot {
					continue
				}
				per := 1.0
				if j != nil {
					if !t.Fits(&j.spec) || !j.allows(t.Name, zone, spot) || !j.zoneOpen(z, zone) {
						continue
					}
					per = math.Inf(1) // tasks that fit on one
					if j.spec.CPUs > 0 {
						per = min(per, math.Floor(t.CPUs/j.spec.CPUs+epsilon))
					}
					if j.spec.MemoryGB > 0 {
						per = min(per, math.Floor(t.MemoryGB/j.spec.MemoryGB+epsilon))
					}
					per = max(1, min(per, 1000))
				} else {
					per = t.CPUs
				}
				price := t.Price
				if spot {
					price = t.SpotCost
				}
				var score float64
				if l.cfg.Thrifty {
					score = price/per + 1e-4*float64(perZone[zone])
				} else {
					// Service first: ordinary machines stay, big ones serve
					// more, zones are kept even.
					score = float64(perZone[zone]) * 0.01
					if spot {
						score++
					}
					score -= 0.001 * min(per, 50)
				}
				if score < bestScore {
					best, bestScore = o, score
				}
			}
		}
	}
	return best, !math.IsInf(bestScore, 1)
}

// asked reports whether a rental of the kind is unanswered. Its answer tells
// whether there are more to have, so a second request would be a guess, and a
// burst of them runs into the cloud's limit.
func (l *Leader) asked(o offer) bool {
	for _, r := range l.rentals {
		if r.offer == o {
			return true
		}
	}
	return false
}

func (l *Leader) sortedTypes() []*wire.MachineType {
	out := make([]*wire.MachineType, 0, len(l.types))
	for _, t := range l.types {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// capacityPause is how long an offer that had too few machines is not asked for
// again: as short as the cloud's rate allows for all offers together, since after a
// wave that takes machines there are some again within seconds.
func (l *Leader) capacityPause() time.Duration {
	if l.cfg.CloudRate <= 0 {
		return tuning.CapacityPause
	}
	offers := 0
	for _, t := range l.types {
		offers += 2 * len(t.Zones)
	}
	pause := time.Duration(float64(offers) / (l.cfg.CloudRate * tuning.RentShare) * float64(time.Second))
	return min(max(pause, tuning.CapacityPauseLeast), tuning.CapacityPause)
}

// RentResult says what became of a rental.
type RentResult int

// Outcomes of a rental.
const (
	RentUnknown RentResult = iota // machines may have been rented; the list will show them
	RentDone                      // the named machines were rented
	RentNone                      // no capacity
	RentRefused                   // not carried out: trouble or too many requests
)

// Rented takes the answer to a rental.
func (l *Leader) Rented(now Now, name string, res RentResult, machines []string) {
	l.now = now
	r := l.rentals[name]
	if r == nil {
		return
	}
	delete(l.rentals, name)
	switch res {
	case RentDone:
		l.count.Rented += uint64(len(machines))
		for _, n := range machines {
			if l.gone[n] {
				continue
			}
			m := l.machines[n] // it may be up, and have reported, ahead of this answer
			if m == nil {
				m = l.addMachine(n, r.offer.typ, r.offer.zone, r.offer.spot, "")
			}
			m.ours = true
		}
		if len(machines) < r.count {
			l.noCap[r.offer] = now.Mono + l.capacityPause()
		}
	case RentNone:
		l.noCap[r.offer] = now.Mono + l.capacityPause()
	case RentRefused:
		l.noCap[r.offer] = now.Mono + 2*tuning.CloudRetry
	case RentUnknown:
		// Whatever was rented is listed soon; until then nothing more of it.
		l.noCap[r.offer] = now.Mono + l.capacityPause()
	}
	l.line(false, "rental answered", "hire", name, "result", [...]string{"unknown", "rented", "no capacity", "refused"}[res], "machines", len(machines))
	l.dirtyPlace = true
}
