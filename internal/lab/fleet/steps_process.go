package fleet

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// awaitedWrites is how many writes await-writes waits for.
const awaitedWrites = 40

// Text of the log of a coordinator node that ends since its storage has lost what it acknowledged.
const lostStorageText = "lost what was acknowledged"

var (
	errRunsOn       = errors.New("it does not end")
	errHasEnded     = errors.New("it has ended")
	errNoWriters    = errors.New("the scenario has no writers")
	errNoSeparator  = errors.New("-- TEXT is missing")
	copiedExtension = ".copy"
)

// onProcess makes an action that does something to a process.
func onProcess(process value, act func(*Process) error) action {
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		return act(p)
	}
}

// always makes a function that can't fail one that could.
func always(act func(*Process)) func(*Process) error {
	return func(p *Process) error {
		act(p)
		return nil
	}
}

func parseStop(a *arguments) action   { return onProcess(a.process(), always((*Process).Stop)) }
func parseResume(a *arguments) action { return onProcess(a.process(), always((*Process).Resume)) }
func parseKill(a *arguments) action   { return onProcess(a.process(), always((*Process).Kill)) }
func parseStart(a *arguments) action  { return onProcess(a.process(), (*Process).startAndWait) }

func parseTerminate(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error {
		p.Terminate()
		if !p.WaitExit(WaitLimit) {
			return errRunsOn
		}
		return nil
	})
}

func parseStartLimited(a *arguments) action {
	process, blocks := a.process(), a.number("blocks")
	return onProcess(process, func(p *Process) error { return p.StartWithFileLimit(blocks) })
}

func parseAwaitExit(a *arguments) action {
	process, logged := a.process(), a.rest()
	return func(r *runner) error {
		p, err := r.process(process)
		if err != nil {
			return err
		}
		if !p.WaitExit(WaitLimit) {
			return errRunsOn
		}
		log, err := p.readLog()
		if err != nil {
			return err
		}
		if text := r.joined(logged); !strings.Contains(string(log), text) {
			return fmt.Errorf("its log has no %q: %s", text, p.lastLogLines())
		}
		return nil
	}
}

func parseExpectRunning(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error {
		if p.Pid() == 0 {
			return errHasEnded
		}
		return nil
	})
}

func parseDeleteData(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error { return os.RemoveAll(p.DataDir) })
}

func parseCopyData(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error { return os.CopyFS(p.DataDir+copiedExtension, os.DirFS(p.DataDir)) })
}

func parseRestoreData(a *arguments) action {
	return onProcess(a.process(), func(p *Process) error {
		if err := os.RemoveAll(p.DataDir); err != nil {
			return err
		}
		return os.CopyFS(p.DataDir, os.DirFS(p.DataDir+copiedExtension))
	})
}

// parseAwaitExclusion: whether the others refuse the node before it notices and ends is chance.
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
	words := a.rest()
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
	words := a.rest()
	a.words = printed
	wanted := a.rest()
	return func(r *runner) error {
		output, err := r.fleet.RunCommand(r.texts(words)...)
		if text := r.joined(wanted); err == nil || !strings.Contains(output, text) {
			return fmt.Errorf("exit: %w; it has not failed with %q: %s", err, text, output)
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
