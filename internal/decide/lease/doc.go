// Package lease implements the two ends of a lease: Holder tracks how long a process may act as the lease's holder, and Receiver tracks
// fencing tokens and decides whether an operation of a holder is accepted. Both are state machines without clock or I/O; package
// leasestate grants leases. Times are in ms on a clock that keeps running while the machine is suspended.
//
// The method is that of Burrows, "The Chubby lock service for loosely-coupled distributed systems" (OSDI 2006): a lease counts from
// before it was requested, and each operation carries a fencing token (there: sequencer), so that its receiver rejects it if it is late.
package lease
