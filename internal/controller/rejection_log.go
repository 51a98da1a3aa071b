package controller

import (
	"log/slog"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// rejectionLog logs transactions that the key-value store rejected, at most one in each
// tuning.RejectionLogInterval. It is safe for concurrent use.
type rejectionLog struct {
	log *slog.Logger

	mu       sync.Mutex
	loggedAt time.Time // zero: never
	unlogged int       // rejections since the last message
}

func (l *rejectionLog) record(rejection kvstore.Rejection) { l.recordAt(time.Now(), rejection) }

func (l *rejectionLog) recordAt(now time.Time, rejection kvstore.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < tuning.RejectionLogInterval {
		l.unlogged++
		return
	}
	l.log.Error("transaction rejected by the key-value store", "key", rejection.FirstKey, "operations", rejection.Operations,
		"largest_value_bytes", rejection.LargestValueBytes, "bytes", rejection.Bytes, "unlogged", l.unlogged, "err", rejection.Err)
	l.loggedAt, l.unlogged = now, 0
}
