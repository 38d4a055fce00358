// Package leaseclient is one process's client of the coordinator: it keeps the process's session open, requests and holds leases, and
// decides which orders from lease holders the process accepts. It is a state machine without clock or I/O. It never blocks the process's
// own work: its decisions only say when the process may begin to act under a lease, and when it must stop.
//
// The driver feeds it the time, the coordinator's responses and watch updates, and the orders that arrive. In return it pulls the
// requests to send to the coordinator and the leases that begin and end. Times are ms on a clock that keeps running while the machine
// is suspended.
package leaseclient
