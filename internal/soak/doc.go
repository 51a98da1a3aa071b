// Package soak runs controller processes against the simulated services on loopback, injects faults
// at moments drawn from a seed, and checks from outside that the rules of the protocol hold: by what
// users were told, what ran on machines, and how the processes ended.
//
// A seed determines the schedule of faults and what users ask for. The processes run in real time,
// so that a run with the same seed is not repeated exactly; a failed run keeps the processes' logs
// and a trace of the users' requests.
package soak
