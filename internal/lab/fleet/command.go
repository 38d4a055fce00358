package fleet

import (
	"errors"
	"os/exec"
	"slices"
)

// statusNotRun stands for the exit status of a command that did not run to completion.
const statusNotRun = -1

// commandResult is the output and exit status of a command.
type commandResult struct {
	output string
	status int
}

// RunCommand runs a command of the program, as an operator would, and returns its output. A command that connects to the coordinator gets the
// coordinator's addresses and the fleet's name as flags, unless the arguments already select a coordinator.
func (f *Fleet) RunCommand(arguments ...string) (string, error) {
	arguments = slices.Clone(arguments)
	if needsCoordinator(arguments) && !slices.Contains(arguments, "--config") && !slices.Contains(arguments, "--council") {
		for _, address := range f.CoordinatorAddresses() {
			arguments = append(arguments, "--council", address)
		}
		arguments = append(arguments, "--fleet", f.FleetName)
	}
	output, err := exec.Command(f.Binary, arguments...).CombinedOutput()
	return string(output), err
}

// needsCoordinator reports whether a command connects to the coordinator.
func needsCoordinator(arguments []string) bool {
	if len(arguments) < 2 {
		return false
	}
	switch arguments[0] {
	case "fleet", "council":
		return true
	case "policy":
		return arguments[1] != "check"
	}
	return false
}

// runForResult runs a command and returns its output and exit status.
func (f *Fleet) runForResult(arguments ...string) commandResult {
	output, err := f.RunCommand(arguments...)
	var exit *exec.ExitError
	switch {
	case err == nil:
		return commandResult{output: output}
	case errors.As(err, &exit):
		return commandResult{output: output, status: exit.ExitCode()}
	default:
		return commandResult{output: output + err.Error(), status: statusNotRun}
	}
}
