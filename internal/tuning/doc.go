// Package tuning holds every constant of the program, each with its unit and the reason for
// its value, in a file for each component. What an operator may set is in package policy and
// takes its default from here; what a deployment sets comes from its settings file and has
// no constant.
package tuning
