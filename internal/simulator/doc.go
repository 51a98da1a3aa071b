// Package simulator holds simulated versions of the systems that a controller talks to,
// written from the protocol: the key-value store, the cloud and the workers. RuleChecker
// checks the protocol's rules against what they see.
//
// KVStore, Worker and RuleChecker are plain state machines: every method takes the
// current time, so that tests can drive them in simulated time. Deployment serves them
// over HTTP in real time and injects faults.
package simulator
