// Package simulator implements simulated versions of the systems that a controller talks to,
// following the protocol: the key-value store, the cloud and the workers. RuleChecker checks that
// the observed starts, stops and answers follow the protocol's rules.
//
// KVStore, Worker and RuleChecker are state machines without a clock: methods that depend on the
// current time take it as an argument, so that tests can run them in simulated time. Deployment
// serves them over HTTP in real time and injects faults.
package simulator
