// Package leaseclient decides one process's part in the fleet: its session with the coordinator, the leases that it requests and holds,
// and which lease holders' acts it accepts. It is a state machine without clock or I/O, and keeps the process from nothing of its own
// work: all that it says is "you may act for the fleet now" or "no longer".
//
// The driver feeds it time, answers, the coordinator's watch and others' acts, and pulls what to ask of the coordinator and which
// leases begin and end. Times are ms on a clock that also runs while the machine sleeps.
package leaseclient
