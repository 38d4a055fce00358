package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, a line each, with the time since the start in ms. It also collects the
// breaks of the rule.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	start  time.Time
	breaks []string
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%10.3f  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// broken records a break of the rule.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, text)
}

// appendFile adds the content of a file, such as a process's log.
func (r *record) appendFile(title, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "\n%s:\n%s", title, text)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
