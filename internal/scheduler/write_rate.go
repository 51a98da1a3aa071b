package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// writeRate is the leader's estimate of the key-value store's limit on changes per second. It never
// exceeds the limit of the settings. It falls with each refusal, since the store may have a lower
// limit, and rises slowly while the store accepts writes, since others may have caused a refusal.
type writeRate struct {
	limit     float64       // of the settings
	perSecond float64       // the estimate
	loweredAt time.Duration // when it was last lowered
	updatedAt time.Duration // when it was last raised
	accepted  bool          // the store has accepted a write since the last refusal
}

func newWriteRate(limit float64, now time.Duration) writeRate {
	return writeRate{limit: limit, perSecond: limit, updatedAt: now, accepted: true}
}

// lower lowers the estimate after a refusal, at most once in each tuning.WriteRateInterval: several
// transactions in flight may be refused together.
func (r *writeRate) lower(now time.Duration) {
	r.accepted = false
	if r.perSecond < r.limit && now-r.loweredAt < tuning.WriteRateInterval {
		return
	}
	r.loweredAt = now
	//mutation:refusals-lower-write-rate
	r.perSecond = max(min(r.limit, tuning.MinWriteRate), r.perSecond*tuning.WriteRateDecrease)
}

// advance raises the estimate for the time since the last call.
func (r *writeRate) advance(now time.Duration) {
	if r.accepted {
		r.perSecond = min(r.limit, r.perSecond+r.limit*tuning.WriteRateIncrease*(now-r.updatedAt).Seconds())
	}
	r.updatedAt = now
}

// maxOps returns how many changes a transaction may have at the rate. The store accepts at once what
// the rate allows in a second, so it would refuse a larger transaction for ever.
func (r *writeRate) maxOps() int { return max(minTransactionOps, int(r.perSecond)) }
