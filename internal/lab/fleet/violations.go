package fleet

import "fmt"

// maxViolations is how many violations a checker reports; more would repeat what the first ones say.
const maxViolations = 20

// violations are what a checker found, up to maxViolations.
type violations []string

func (v *violations) add(format string, arguments ...any) {
	if len(*v) < maxViolations {
		*v = append(*v, fmt.Sprintf(format, arguments...))
	}
}

// events reads a process's audit log; one that can't be read is a violation.
func (v *violations) events(f *Fleet, p *Process) []AuditEvent {
	events, err := f.AuditEvents(p.Name)
	if err != nil {
		v.add("%v", err)
	}
	return events
}
