package rpc

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// epochZeroSeconds is the Unix time from which epochs are counted.
const epochZeroSeconds = 1700000000

// Boottime returns the time since the machine's boot in ms. It never goes back and also runs while the machine sleeps.
func Boottime() float64 {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic(err) // Linux has it since 2.6.39
	}
	return float64(at.Sec)*1000 + float64(at.Nsec)/1e6
}

// EpochAt returns the epoch of a coordinator that begins at this time: seconds since November 2023, so that one that begins later has
// a higher epoch.
func EpochAt(now time.Time) uint64 { return uint64(max(1, now.Unix()-epochZeroSeconds)) }

// UniqueID draws a random number for what must differ from all others: a data directory, or an incarnation.
func UniqueID() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails, by its documentation
	return binary.BigEndian.Uint64(random[:])
}

// Jitter draws a delay from half of d to one and a half of it, so that what failed together doesn't retry together.
func Jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + mathrand.Float64()) * float64(d))
}
