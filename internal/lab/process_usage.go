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

// ErrProcessEnded means that a process whose usage is read has ended.
var ErrProcessEnded = errors.New("the process has ended")

// processUsage is what a process has used since its start.
type processUsage struct {
	cpuSeconds float64 // of all threads
	bytes      float64 // that its system calls read and wrote
}

// readUsage reads what a process has used from /proc.
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

// threadSeconds reads the processor time of a thread.
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

// readMemory reads a process's resident memory, now and at its peak, in MiB.
func readMemory(pid int) (resident, peak float64, err error) {
	numbers, err := readProcNumbers(pid, "status")
	return numbers["VmRSS"] / kibibytesPerMebibyte, numbers["VmHWM"] / kibibytesPerMebibyte, err
}

// countDescriptors counts a process's open file descriptors.
func countDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}

// readProcNumbers reads a file of /proc whose lines have a key and a value; values that are no numbers are left out.
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
