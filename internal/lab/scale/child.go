package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// responseTimeout is well above the time that any response takes.
const responseTimeout = 60 * time.Second

var (
	errChildEnded      = errors.New("hollow process exited before it responded")
	errChildNoResponse = errors.New("timed out waiting for the response of a hollow process")
)

// Child is the parent's handle of a hollow process. The process exits at the end of its standard input, hence also when its parent exits.
type Child struct {
	Spec      ChildSpec
	Addrs     []string
	command   *exec.Cmd
	input     io.WriteCloser
	responses chan json.RawMessage // closed when the process ends
	mu        sync.Mutex           // held from a request to its response
}

// StartChild starts a hollow process, sends it the specification and waits for its first response.
func StartChild(binary, dir, name string, spec ChildSpec) (*Child, error) {
	log, err := os.OpenFile(filepath.Join(dir, "hollow-"+name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer closeQuietly(log) // the child has its own descriptor
	c := &Child{Spec: spec, command: exec.Command(binary, "lab", "hollow"), responses: make(chan json.RawMessage, 1)}
	c.command.Stderr = log
	if c.input, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	go c.readResponses(output)
	startTime := time.Duration(spec.StartIntervalMs*float64(len(spec.Names))) * time.Millisecond
	first, err := c.exchange(spec, responseTimeout+startTime)
	if err != nil {
		c.Kill()
		return nil, fmt.Errorf("start hollow process %s: %w", name, err)
	}
	c.Addrs = first.Addrs
	return c, nil
}

func (c *Child) readResponses(output io.Reader) {
	defer close(c.responses)
	decoder := json.NewDecoder(output)
	for {
		var line json.RawMessage
		if decoder.Decode(&line) != nil {
			return
		}
		c.responses <- line
	}
}

// Ask sends a request and waits for its response.
func (c *Child) Ask(request ChildRequest) (ChildResponse, error) {
	return c.exchange(request, responseTimeout)
}

func (c *Child) exchange(request any, timeout time.Duration) (response ChildResponse, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := json.NewEncoder(c.input).Encode(request); err != nil {
		return response, err
	}
	select {
	case line, running := <-c.responses:
		if !running {
			return response, errChildEnded
		}
		if err := json.Unmarshal(line, &response); err != nil {
			return response, err
		}
	case <-time.After(timeout):
		return response, errChildNoResponse
	}
	if response.Err != "" {
		return response, errors.New(response.Err)
	}
	return response, nil
}

// Pid returns the process ID.
func (c *Child) Pid() int { return c.command.Process.Pid }

// Kill sends SIGKILL and waits until the process has exited.
func (c *Child) Kill() {
	_ = c.command.Process.Kill() // it may have exited already
	closeQuietly(c.input)
	for range c.responses {
	}
	_ = c.command.Wait() // the error only says that the process was killed
}

// closeQuietly closes c and ignores the error. It is for files and connections without unflushed data, where a failed close loses nothing.
func closeQuietly(c io.Closer) { _ = c.Close() }
