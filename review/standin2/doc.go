//go:build review

// Package standin2 has the stand-ins of the review cases 4 to 8: a state service, a cloud, workers,
// users, and links that can be cut, all on loopback addresses and the real clock. It starts the
// project's own controllers as separate processes with the commands of the deploy file.
//
// The stand-ins follow the users' protocol page. Where the page is silent, they behave like a sound
// server or client: the state service answers at once and lists changes in the order in which they
// were made, the cloud boots every machine, and workers never fail.
package standin2
