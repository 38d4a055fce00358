// Package lease is the two ends of a lease: the holder's account of its own time (Holder), and the receiver's memory of fencing tokens
// (Receiver), which decides whether an act of a holder is accepted. Both are state machines without clock or I/O; leases are granted by
// package leasestate. Times are ms on a clock that also runs while the machine sleeps.
//
// The method is that of Burrows, "The Chubby lock service for loosely-coupled distributed systems" (OSDI 2006): a lease's time counts
// from before it was requested, and a fencing token (there: sequencer) goes with each act, so that a late one is rejected where it
// arrives.
package lease
