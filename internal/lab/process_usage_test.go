package lab

import (
	"errors"
	"os"
	"testing"
)

// Usage counters of a running process increase, and reading a process that doesn't exist fails with ErrProcessEnded.
func TestReadUsage_RunningAndEnded(t *testing.T) {
	before, err := readUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if before.cpuSeconds <= 0 || before.bytes <= 0 {
		t.Errorf("%+v", before)
	}
	after, err := readUsage(os.Getpid())
	if err != nil || after.cpuSeconds < before.cpuSeconds || after.bytes <= before.bytes {
		t.Errorf("%+v after %+v: %v", after, before, err)
	}
	resident, peak, err := ReadMemory(os.Getpid())
	if err != nil || resident <= 0 || peak < resident {
		t.Errorf("%f, %f: %v", resident, peak, err)
	}
	if count, err := CountDescriptors(os.Getpid()); err != nil || count < 3 {
		t.Errorf("%d descriptors: %v", count, err)
	}
	if _, err := readUsage(1 << 30); !errors.Is(err, ErrProcessEnded) {
		t.Errorf("nonexistent process: %v", err)
	}
}
