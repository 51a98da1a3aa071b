// Package tuning holds every constant of the program, each with its unit and the reason for
// its value, in one file for each component. Package policy holds the settings of operators
// and takes their defaults from here. What the settings file of a deployment sets has no
// constant here.
package tuning
