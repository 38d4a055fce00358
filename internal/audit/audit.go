// Package audit writes the audit log of one process: one JSON object per line for each event of the process in the fleet (what it held,
// rejected and was granted). The file outlives the process, so a checker can reconstruct what happened even if the process was killed.
// The package owns the file. It must never block the process because writes fail: lines that can't be written are buffered until a later
// write succeeds. The buffer is bounded; when it is full, the oldest lines are dropped and counted as lost.
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
	maxBufferedLines = 1024 // kept in memory while writes fail
	fileMode         = 0o600
	readBlockSize    = 4096
)

// Names of the fields that every line has.
const (
	numberField  = "n"
	pidField     = "pid"
	processField = "who"
	eventField   = "what"
	timeField    = "at" // Unix time in ms
)

// Fields are the event-specific fields of a line, besides its number, PID, process name, event and time.
type Fields map[string]any

// Log is an open audit log. A nil or zero Log discards all lines. Log is safe for concurrent use.
type Log struct {
	mu             sync.Mutex
	file           *os.File
	process        string
	lines          int
	lost           int
	buffered       [][]byte // encoded lines, oldest first; empty while writes succeed
	incompleteLine bool     // the file may end in an incomplete line
}

// Open opens or creates the audit log of a process. It removes an incomplete last line, which a kill or a failed write may have left.
// For an empty path it returns a nil Log.
func Open(path, process string) (*Log, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	l := &Log{file: file, process: process, incompleteLine: true}
	if err := l.truncateIncompleteLine(); err != nil {
		logrus.WithError(err).WithField("file", path).Warn("audit log: failed to remove the incomplete last line")
	}
	return l, nil
}

func (l *Log) truncateIncompleteLine() error {
	if !l.incompleteLine {
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
	l.incompleteLine = false
	return nil
}

// lastLineEnd returns the offset after the last complete line of a file, searching backwards from its end. It returns 0 if the file is
// not a regular file.
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

// Add writes one line synchronously. If the write fails, the line is buffered until the next Add or Close.
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
	if l.buffered = append(l.buffered, line); len(l.buffered) > maxBufferedLines {
		l.buffered = l.buffered[1:]
		l.lost++
	}
	failedBefore := len(l.buffered) > 1
	err = l.flush()
	switch {
	case err != nil && !failedBefore:
		logrus.WithError(err).WithField("file", l.file.Name()).Error("audit log: write failed; buffering lines")
	case err == nil && failedBefore:
		logrus.WithFields(logrus.Fields{"file": l.file.Name(), "lost": l.lost}).Info("audit log: writing resumed")
	}
}

// encode assigns the next line number and encodes the line.
func (l *Log) encode(event string, fields Fields) ([]byte, error) {
	l.lines++
	line := Fields{numberField: l.lines, pidField: os.Getpid(), processField: l.process, eventField: event,
		timeField: float64(time.Now().UnixMicro()) / 1000}
	maps.Copy(line, fields)
	encoded, err := json.Marshal(line)
	return append(encoded, '\n'), err
}

// flush writes the buffered lines in order.
func (l *Log) flush() error {
	for len(l.buffered) > 0 {
		if err := l.truncateIncompleteLine(); err != nil {
			return err
		}
		if err := l.write(l.buffered[0]); err != nil {
			return err
		}
		l.buffered = l.buffered[1:]
	}
	l.buffered = nil
	return nil
}

func (l *Log) write(line []byte) error {
	part, injected := line, failpoint.OperationError("audit.write", l.file.Name())
	if injected != nil { // write only the first half, as a full disk may do
		part = line[:len(line)/2]
	}
	n, err := l.file.Write(part)
	l.incompleteLine = n > 0 && n < len(line)
	return errors.Join(injected, err)
}

// Close tries to write the buffered lines and closes the file. It logs how many lines are lost.
func (l *Log) Close() {
	if l == nil || l.file == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.flush(); err != nil {
		logrus.WithError(err).WithFields(logrus.Fields{"file": l.file.Name(), "lost": l.lost + len(l.buffered)}).Error("audit log: lines lost")
	}
	if err := l.file.Close(); err != nil {
		logrus.WithError(err).WithField("file", l.file.Name()).Error("audit log: failed to close the file")
	}
}
