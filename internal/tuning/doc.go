// Package tuning holds the tunable constants of the controller, each with its unit and the reason
// for its value, in one file for each component. Limits that are internal to a package, such
// as numbers of connections, may be declared in that package. Package policy holds the settings of
// operators and takes their defaults from here. What the settings file of a deployment sets has no
// constant here.
package tuning
