// Package record is what a process writes of its acts in the fleet, a JSON object a line, in a file that outlives it: what it
// held, took, refused and was granted, so that a checker can tell later what happened, whatever became of the process. It owns
// the file; it must never keep the process from its work: a record that can't be written is counted, not waited for.
package record

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Fields are what a line holds beside its number, its time and what happened.
type Fields map[string]any

// Record is an open file. A nil one takes nothing.
type Record struct {
	mu   sync.Mutex
	f    *os.File
	who  string
	n    int
	lost int
}

// Open begins or goes on with a process's record.
func Open(path, who string) (*Record, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Record{f: f, who: who}, nil
}

// Add writes one line, at once and whole: what it says has happened when it returns.
func (r *Record) Add(what string, f Fields) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	line := Fields{"n": r.n, "pid": os.Getpid(), "who": r.who, "what": what, "at": float64(time.Now().UnixMicro()) / 1000}
	for k, v := range f {
		line[k] = v
	}
	b, err := json.Marshal(line)
	if err == nil {
		_, err = r.f.Write(append(b, '\n'))
	}
	if err != nil {
		r.lost++
	}
}

// Close ends it.
func (r *Record) Close() {
	if r != nil {
		r.f.Close()
	}
}
