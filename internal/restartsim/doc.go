// Package restartsim simulates restarts of all controllers: one scheduler with simulated
// machines, a simulated key-value store and a simulated cloud, in simulated time. It
// compares the scheduler's orders with those that are needed, which it knows from the
// simulated machines. Processors cost nothing here: what is measured are orders, calls,
// and delays that come from the protocol and from pacing.
package restartsim
