package tuning

import "time"

// Requests of the HTTP server.
const (
	// MaxConcurrentRequests is how many requests a server reads at once, or handles at once
	// without blocking. The process has one processor at a time, so further concurrent requests
	// would only lengthen the queue in which the renewal of the leader's lease waits.
	MaxConcurrentRequests = 2
	// MaxHeaderBytes bounds the header of a request, and MaxRequestBytes the rest: the
	// protocol's largest body, sent in chunks of a few bytes in the worst case.
	MaxHeaderBytes  = 8 << 10
	MaxRequestBytes = 256 << 10
	// HeaderTimeout and BodyTimeout bound how long a slow client may take to send the header
	// and the body.
	HeaderTimeout = 4 * time.Second
	BodyTimeout   = 4 * time.Second
	// MaxPooledBytes bounds the size of a buffer that is kept for the next response.
	MaxPooledBytes = 16 << 10
)

// Connections of the HTTP server.
const (
	// ConnReadBufferBytes is the size of a connection's read buffer. Most requests fit into
	// one buffer, and each open connection holds one.
	ConnReadBufferBytes = 1 << 10
	// IdleConnTimeout is how long an idle connection is kept. Users poll every 5 s, workers
	// send heartbeats every few seconds.
	IdleConnTimeout = 30 * time.Second
	// AcceptRetryDelay is the pause after a connection could not be accepted because no socket
	// was free.
	AcceptRetryDelay = 20 * time.Millisecond
	// MaxDrainBytes is how much of a request body that its handler did not read is discarded to
	// keep the connection open. If more is left, the connection is closed.
	MaxDrainBytes = 4 << 10
	// LingerTimeout is how long the server keeps reading from a connection that it closes with
	// unread data, so that the connection reset does not overtake the response.
	LingerTimeout = 500 * time.Millisecond
	// ListenerHighWatermark is the share of the listener's connections above which a user's
	// connection is closed after each response, so that workers, who have priority, can
	// connect. Above WorkerConnsHighWatermark the connections of workers are closed as well: they
	// connect again for the next heartbeat, so that there may be more machines than sockets.
	ListenerHighWatermark    = 0.85
	WorkerConnsHighWatermark = 0.9
	// ListenerReservedShare is the share of the listener's connections that only health checks and
	// queries may use. ReservedConnTimeout is how long such a connection may take to send the first
	// bytes of its request: load balancers wait no longer for a health check.
	ListenerReservedShare = 0.05
	ReservedConnTimeout   = 1 * time.Second
)
