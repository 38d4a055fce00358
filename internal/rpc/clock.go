package rpc

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// epochOriginSeconds is the Unix time of epoch 0.
const epochOriginSeconds = 1700000000

// Boottime returns the time since the machine booted, in ms. It is monotonic and includes time that the machine spent suspended.
func Boottime() float64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic(err) // can't happen: available since Linux 2.6.39
	}
	return float64(at.Sec)*1000 + float64(at.Nsec)/1e6
}

// EpochAt returns the epoch of a coordinator cluster that is created at a given time: the number of seconds since November 2023, at
// least 1. A cluster that is created later thus has a higher epoch.
func EpochAt(now time.Time) uint64 { return uint64(max(1, now.Unix()-epochOriginSeconds)) }

// UniqueID returns a random number that identifies, for example, a data directory or an incarnation.
func UniqueID() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // documented never to return an error
	return binary.BigEndian.Uint64(random[:])
}

// Jitter returns a random delay between 0.5 and 1.5 times d, so that operations that failed together don't retry at the same time.
func Jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + mathrand.Float64()) * float64(d))
}
