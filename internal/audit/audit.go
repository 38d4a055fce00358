// Package audit writes the audit log of one process: a JSON object a line for each act of the process in the fleet (what it held,
// rejected and was granted), in a file that outlives it, so that a checker can tell later what happened whatever became of the process.
// It owns the file. It must never keep the process from its work: a line that can't be written waits for the next one, up to a bound
// beyond which the oldest lines are counted as lost.
package audit

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/failpoint"
)

const (
	maxWaiting    = 1024 // lines that wait while writes fail
	fileMode      = 0o600
	readBlockSize = 4096
)

// Names of the fields that each line has.
const (
	numberField  = "n"
	pidField     = "pid"
	processField = "who"
	eventField   = "what"
	timeField    = "at" // ms on the Unix clock
)

// Fields are what a line holds besides its number, its time, its process and its event.
type Fields map[string]any

// Log is an open audit log. A nil or a zero Log accepts lines and drops them. Its methods may be called at the same time.
type Log struct {
	mu          sync.Mutex
	file        *os.File
	process     string
	lines       int
	lost        int
	waiting     [][]byte // encoded lines, the oldest first; empty while writes succeed
	partialLine bool     // the file ends in part of a line
}

// Open opens the audit log of a process, or creates it. A partial line at its end, as a kill or a disk that refused the rest leaves it,
// is truncated. An empty path gives a nil Log.
func Open(path, process string) (*Log, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	l := &Log{file: file, process: process, partialLine: true}
	if err := l.truncatePartialLine(); err != nil {
		logrus.WithError(err).WithField("file", path).Warn("audit log: partial last line not truncated")
	}
	return l, nil
}

func (l *Log) truncatePartialLine() error {
	if !l.partialLine {
		return nil
	}
	end, err := lastLineEnd(l.file)
	if err != nil {
		return err
	}
	info, err := l.file.Stat()
	if err != nil {
		return err
	}
	if info.Size() > end {
		if err := l.file.Truncate(end); err != nil {
			return err
		}
	}
	l.partialLine = false
	return nil
}

// lastLineEnd returns the offset after a file's last complete line, searching from its end; 0 for what isn't a regular file.
func lastLineEnd(file *os.File) (int64, error) {
	info, err := file.Stat()
	if err != nil || !info.Mode().IsRegular() {
		return 0, err
	}
	block := make([]byte, readBlockSize)
	for end := info.Size(); end > 0; {
		from := max(0, end-readBlockSize)
		part := block[:end-from]
		if _, err := file.ReadAt(part, from); err != nil && !errors.Is(err, io.EOF) {
			return 0, err
		}
		if n := bytes.LastIndexByte(part, '\n'); n >= 0 {
			return from + int64(n) + 1, nil
		}
		end = from
	}
	return 0, nil
}

// Add writes one line and returns once the file has it. If the write fails the line waits for the next Add or Close.
func (l *Log) Add(event string, fields Fields) {
	if l == nil || l.file == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	line, err := l.encode(event, fields)
	if err != nil {
		l.lost++
		return
	}
	if l.waiting = append(l.waiting, line); len(l.waiting) > maxWaiting {
		l.waiting = l.waiting[1:]
		l.lost++
	}
	failedBefore := len(l.waiting) > 1
	err = l.flush()
	switch {
	case err != nil && !failedBefore:
		logrus.WithError(err).WithField("file", l.file.Name()).Error("audit log: write failed, lines wait")
	case err == nil && failedBefore:
		logrus.WithFields(logrus.Fields{"file": l.file.Name(), "lost": l.lost}).Info("audit log: writes succeed again")
	}
}

// encode numbers and encodes a line.
func (l *Log) encode(event string, fields Fields) ([]byte, error) {
	l.lines++
	line := Fields{numberField: l.lines, pidField: os.Getpid(), processField: l.process, eventField: event,
		timeField: float64(time.Now().UnixMicro()) / 1000}
	maps.Copy(line, fields)
	encoded, err := json.Marshal(line)
	return append(encoded, '\n'), err
}

// flush writes the waiting lines in their order.
func (l *Log) flush() error {
	for len(l.waiting) > 0 {
		if err := l.truncatePartialLine(); err != nil {
			return err
		}
		if err := l.write(l.waiting[0]); err != nil {
			return err
		}
		l.waiting = l.waiting[1:]
	}
	l.waiting = nil
	return nil
}

func (l *Log) write(line []byte) error {
	part, injected := line, failpoint.OperationError("audit.write", l.file.Name())
	if injected != nil { // as a full disk does, it takes the first half
		part = line[:len(line)/2]
	}
	n, err := l.file.Write(part)
	l.partialLine = n > 0 && n < len(line)
	return errors.Join(injected, err)
}

// Close writes the lines that wait, if the file takes them now, and closes it. What is lost is logged.
func (l *Log) Close() {
	if l == nil || l.file == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.flush(); err != nil {
		logrus.WithError(err).WithFields(logrus.Fields{"file": l.file.Name(), "lost": l.lost + len(l.waiting)}).Error("audit log: lines lost")
	}
	if err := l.file.Close(); err != nil {
		logrus.WithError(err).WithField("file", l.file.Name()).Error("audit log: close failed")
	}
}
