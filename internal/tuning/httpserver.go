package tuning

import "time"

// Requests of the HTTP server.
const (
	// MaxConcurrentRequests is how many requests a server reads, or handles without waiting, at
	// once: a process has one processor at a time, and what is started beside the first only
	// lengthens the queue in which the renewal of the lease waits.
	MaxConcurrentRequests = 2
	// MaxHeaderBytes bounds a request's header and MaxRequestBytes what follows: the protocol's
	// largest body, in chunks of a few bytes at worst.
	MaxHeaderBytes  = 8 << 10
	MaxRequestBytes = 256 << 10
	// HeaderTimeout and BodyTimeout bound how long a slow client may take.
	HeaderTimeout = 4 * time.Second
	BodyTimeout   = 4 * time.Second
	// MaxPooledBytes bounds the buffers that are kept for the next answer.
	MaxPooledBytes = 16 << 10
)

// Connections of the HTTP server.
const (
	// ConnReadBufferBytes is the size of a connection's read buffer: most requests fit into it
	// whole, and each open connection holds one.
	ConnReadBufferBytes = 1 << 10
	// IdleConnTimeout is how long an idle connection is kept. Users poll every 5 s, workers
	// send heartbeats every few seconds.
	IdleConnTimeout = 30 * time.Second
	// AcceptRetryDelay is the pause after a connection could not be accepted for want of
	// sockets.
	AcceptRetryDelay = 20 * time.Millisecond
	// MaxDrainBytes is how much of a body that its handler did not read is read to keep the
	// connection; after more it is closed.
	MaxDrainBytes = 4 << 10
	// LingerTimeout is how long a connection that is closed with something unread is read on,
	// so that its reset does not overtake the answer.
	LingerTimeout = 500 * time.Millisecond
	// CrowdedListenerShare is from which part of the listener's connections on users'
	// connections are closed after each answer, so that workers, who rank first, can connect.
	CrowdedListenerShare = 0.85
)
