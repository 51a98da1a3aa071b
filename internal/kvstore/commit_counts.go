package kvstore

import (
	"errors"
	"sync/atomic"

	"github.com/yarrowgap/yarrowgap/wire"
)

// CommitCounts counts transactions by outcome since the client was created.
type CommitCounts struct {
	Executed    uint64 `json:"executed"`
	Conflicts   uint64 `json:"conflicts"`
	Rejected    uint64 `json:"rejected"` // over one of the store's size limits, or malformed
	RateLimited uint64 `json:"rate_limited"`
	Unavailable uint64 `json:"unavailable"`
	Unknown     uint64 `json:"unknown"` // no usable response, or another error
}

// NotExecuted returns the number of transactions that were refused for another reason than a
// conflict, or have an unknown outcome.
func (c CommitCounts) NotExecuted() uint64 {
	return c.Rejected + c.RateLimited + c.Unavailable + c.Unknown
}

// Since returns the increase of each count since an earlier snapshot.
func (c CommitCounts) Since(earlier CommitCounts) CommitCounts {
	return CommitCounts{
		Executed:    c.Executed - earlier.Executed,
		Conflicts:   c.Conflicts - earlier.Conflicts,
		Rejected:    c.Rejected - earlier.Rejected,
		RateLimited: c.RateLimited - earlier.RateLimited,
		Unavailable: c.Unavailable - earlier.Unavailable,
		Unknown:     c.Unknown - earlier.Unknown,
	}
}

// commitCounter counts transactions by outcome. It is safe for concurrent use.
type commitCounter struct {
	executed, conflicts, rejected, rateLimited, unavailable, unknown atomic.Uint64
}

// add counts a transaction by the error that Commit returns for it.
func (c *commitCounter) add(err error) {
	switch {
	case err == nil:
		c.executed.Add(1)
	case errors.Is(err, ErrConflict):
		c.conflicts.Add(1)
	case errors.Is(err, ErrRejected):
		c.rejected.Add(1)
	case errors.Is(err, ErrRateLimited):
		c.rateLimited.Add(1)
	case errors.Is(err, ErrUnavailable):
		c.unavailable.Add(1)
	default:
		c.unknown.Add(1)
	}
}

func (c *commitCounter) counts() CommitCounts {
	return CommitCounts{
		Executed: c.executed.Load(), Conflicts: c.conflicts.Load(), Rejected: c.rejected.Load(),
		RateLimited: c.rateLimited.Load(), Unavailable: c.unavailable.Load(), Unknown: c.unknown.Load(),
	}
}

// Rejection describes a transaction that the store rejected, by the sizes that its limits refer
// to.
type Rejection struct {
	FirstKey          string // the first key that the transaction would have changed
	Operations        int
	LargestValueBytes int // in JSON
	Bytes             int // the whole transaction in JSON
	Err               error
}

func newRejection(txn wire.Txn, err error) Rejection {
	rejection := Rejection{Operations: len(txn.Then), Bytes: wire.JSONSize(txn), Err: err}
	for i, op := range txn.Then {
		if i == 0 {
			rejection.FirstKey = op.Set + op.Delete // an operation has one of the two
		}
		if op.Set != "" {
			rejection.LargestValueBytes = max(rejection.LargestValueBytes, wire.JSONSize(op.Value))
		}
	}
	return rejection
}
