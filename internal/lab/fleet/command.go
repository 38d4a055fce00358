package fleet

import (
	"errors"
	"os/exec"
	"slices"
)

// failedToRun is the exit status of a command that did not run to its end.
const failedToRun = -1

// commandResult is how a command of the program ended.
type commandResult struct {
	output string
	status int
}

// RunCommand runs the program once, as an operator would, and gives what it printed. Commands that ask the coordinator get its addresses
// and the fleet's name, unless the arguments say which coordinator is asked.
func (f *Fleet) RunCommand(arguments ...string) (string, error) {
	arguments = slices.Clone(arguments)
	if asksCoordinator(arguments) && !slices.Contains(arguments, "--config") && !slices.Contains(arguments, "--council") {
		for _, address := range f.CoordinatorAddresses() {
			arguments = append(arguments, "--council", address)
		}
		arguments = append(arguments, "--fleet", f.FleetName)
	}
	output, err := exec.Command(f.Binary, arguments...).CombinedOutput()
	return string(output), err
}

// asksCoordinator tells whether a command asks the coordinator.
func asksCoordinator(arguments []string) bool {
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

// runForStatus runs the program and gives what it printed, with its exit status.
func (f *Fleet) runForStatus(arguments ...string) commandResult {
	output, err := f.RunCommand(arguments...)
	var exit *exec.ExitError
	switch {
	case err == nil:
		return commandResult{output: output}
	case errors.As(err, &exit):
		return commandResult{output: output, status: exit.ExitCode()}
	default:
		return commandResult{output: output + err.Error(), status: failedToRun}
	}
}
