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

// responseTimeout is far longer than a response takes.
const responseTimeout = 60 * time.Second

var (
	errChildEnded      = errors.New("the process has ended")
	errChildNoResponse = errors.New("no response")
)

// Child is a hollow process as the process sees it that started it. It ends when its input does, so also with its parent.
type Child struct {
	Spec      ChildSpec
	Addrs     []string
	command   *exec.Cmd
	input     io.WriteCloser
	responses chan json.RawMessage // closed when the process ends
	mu        sync.Mutex           // held from a request to its response
}

// StartChild starts a hollow process and waits for its first response.
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

// Ask sends a request and returns its response.
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

// Pid returns the id of the process.
func (c *Child) Pid() int { return c.command.Process.Pid }

// Kill ends the process at once and waits until it has ended.
func (c *Child) Kill() {
	_ = c.command.Process.Kill() // it may have ended
	closeQuietly(c.input)
	for range c.responses {
	}
	_ = c.command.Wait() // a killed process has no other result
}

// closeQuietly closes what has nothing left to lose: it was only read, or its other end has ended or will see the end.
func closeQuietly(c io.Closer) { _ = c.Close() }
