// Package machineclock reads the clocks of the machine.
package machineclock
