// Package restartsim simulates restarts of all controllers. It runs one scheduler against simulated
// machines, a simulated key-value store and a simulated cloud, in simulated time. It counts the
// operations that the scheduler issues (starts and stops of attempts, provisioned and released
// machines) and compares them with the needed operations, which it derives from the state of the
// simulated machines. Computation takes no simulated time: the results are numbers of operations and
// calls, and the delays that are due to the protocol and to rate limits.
package restartsim
