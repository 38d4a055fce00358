package lab

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	nanosecondsPerSecond = 1e9
	kibibytesPerMebibyte = 1024
)

// ErrProcessEnded is returned when the process being measured has exited.
var ErrProcessEnded = errors.New("the process has exited")

// processUsage is the cumulative resource usage of a process.
type processUsage struct {
	cpuSeconds float64 // CPU time of all current threads
	bytes      float64 // bytes read and written by its system calls
}

// readUsage reads a process's usage from /proc.
func readUsage(pid int) (usage processUsage, err error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return usage, err
	}
	if len(paths) == 0 {
		return usage, fmt.Errorf("process %d: %w", pid, ErrProcessEnded)
	}
	for _, path := range paths {
		seconds, err := threadSeconds(path)
		if err != nil {
			return usage, err
		}
		usage.cpuSeconds += seconds
	}
	numbers, err := readProcNumbers(pid, "io")
	usage.bytes = numbers["rchar"] + numbers["wchar"]
	return usage, err
}

// threadSeconds reads a thread's CPU time, in seconds, from its schedstat file.
func threadSeconds(path string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s is empty", path)
	}
	nanoseconds, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return nanoseconds / nanosecondsPerSecond, nil
}

// ReadMemory reads a process's current and peak resident memory, in MiB.
func ReadMemory(pid int) (resident, peak float64, err error) {
	numbers, err := readProcNumbers(pid, "status")
	return numbers["VmRSS"] / kibibytesPerMebibyte, numbers["VmHWM"] / kibibytesPerMebibyte, err
}

// CountDescriptors counts a process's open file descriptors.
func CountDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}

// readProcNumbers parses a /proc file of "key: value" lines. It skips values that aren't numeric.
func readProcNumbers(pid int, name string) (numbers map[string]float64, err error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/%s", pid, name))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	numbers = map[string]float64{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		key, rest, _ := strings.Cut(lines.Text(), ":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		if number, err := strconv.ParseFloat(fields[0], 64); err == nil {
			numbers[key] = number
		}
	}
	return numbers, lines.Err()
}

// ReadCPU reads the CPU time of all current threads of a process, in seconds.
func ReadCPU(pid int) (seconds float64, err error) {
	usage, err := readUsage(pid)
	return usage.cpuSeconds, err
}
