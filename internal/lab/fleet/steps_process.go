package fleet

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// awaitedWrites is the number of writes that await-writes waits for.
const awaitedWrites = 40

// lostStorageText is logged by a coordinator node that exits because its storage has lost acknowledged data.
const lostStorageText = "lost what was acknowledged"

var (
	errStillRunning = errors.New("process has not ended")
	errNotRunning   = errors.New("process has ended")
	errNoWriters    = errors.New("the scenario has no writers")
	errNoSeparator  = errors.New("-- TEXT is missing")
	copySuffix      = ".copy"
)

// onProcess returns an action that calls act on a process.
func onProcess(process value, act func(*Process) error) action {
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		return act(p)
	}
}

// infallible adapts a function without a result to one that returns an error.
func infallible(act func(*Process)) func(*Process) error {
	return func(p *Process) error {
		act(p)
		return nil
	}
}

func parseStop(a *arguments) action   { return onProcess(a.process(), infallible((*Process).Stop)) }
func parseResume(a *arguments) action { return onProcess(a.process(), infallible((*Process).Resume)) }
func parseKill(a *arguments) action   { return onProcess(a.process(), infallible((*Process).Kill)) }
func parseStart(a *arguments) action  { return onProcess(a.process(), (*Process).startAndWait) }

func parseTerminate(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error {
		p.Terminate()
		if !p.WaitExit(WaitLimit) {
			return errStillRunning
		}
		return nil
	})
}

func parseStartLimited(a *arguments) action {
	process, blocks := a.process(), a.number("blocks")
	return onProcess(process, func(p *Process) error { return p.StartWithFileLimit(blocks) })
}

func parseAwaitExit(a *arguments) action {
	process, logged := a.process(), a.remaining()
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		if !p.WaitExit(WaitLimit) {
			return errStillRunning
		}
		log, err := p.readLog()
		if err != nil {
			return err
		}
		if text := r.joined(logged); !strings.Contains(string(log), text) {
			return fmt.Errorf("log of the process has no %q: %s", text, p.logTail())
		}
		return nil
	}
}

func parseExpectRunning(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error {
		if p.Pid() == 0 {
			return errNotRunning
		}
		return nil
	})
}

func parseDeleteData(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error { return os.RemoveAll(p.DataDir) })
}

func parseCopyData(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error { return os.CopyFS(p.DataDir+copySuffix, os.DirFS(p.DataDir)) })
}

func parseRestoreData(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error {
		if err := os.RemoveAll(p.DataDir); err != nil {
			return err
		}
		return os.CopyFS(p.DataDir, os.DirFS(p.DataDir+copySuffix))
	})
}

// parseAwaitExclusion parses await-exclusion. The step accepts both outcomes, since it is a race whether the others refuse the node before it
// detects the loss itself and exits.
func parseAwaitExclusion(a *arguments) action {
	process := a.process()
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		return WaitUntil(p.Name+" is excluded", func() (bool, error) {
			refusals, _, err := r.fleet.CountEvents(p.Name, nodeRefused, nil)
			if refusals > 0 || err != nil {
				return refusals > 0, err
			}
			log, err := p.readLog()
			return p.Pid() == 0 && strings.Contains(string(log), lostStorageText), err
		})
	}
}

func parseCommand(a *arguments) action {
	words := a.remaining()
	return func(r *runner) error {
		output, err := r.fleet.RunCommand(r.texts(words)...)
		if err != nil {
			return fmt.Errorf("%w: %s", err, output)
		}
		return nil
	}
}

func parseCommandFails(a *arguments) action {
	separator := slices.Index(a.words, "--")
	if separator < 0 {
		a.fail(errNoSeparator)
		return nil
	}
	printed := a.words[separator+1:]
	a.words = a.words[:separator]
	words := a.remaining()
	a.words = printed
	wanted := a.remaining()
	return func(r *runner) error {
		output, err := r.fleet.RunCommand(r.texts(words)...)
		if text := r.joined(wanted); err == nil || !strings.Contains(output, text) {
			return fmt.Errorf("exit: %w; want a failure with %q: %s", err, text, output)
		}
		return nil
	}
}

func parseAwaitWrites(*arguments) action {
	return func(r *runner) error {
		if r.writes == nil {
			return errNoWriters
		}
		return r.writes.WaitForWrites(awaitedWrites)
	}
}
