package fleet

import "fmt"

// maxViolations limits the violations that a checker reports, since later ones mostly repeat the first.
const maxViolations = 20

// violations are the findings of a checker, up to maxViolations.
type violations []string

func (v *violations) add(format string, arguments ...any) {
	if len(*v) < maxViolations {
		*v = append(*v, fmt.Sprintf(format, arguments...))
	}
}

// events reads a process's audit log. A log that can't be read is a violation.
func (v *violations) events(f *Fleet, p *Process) []AuditEvent {
	events, err := f.AuditEvents(p.Name)
	if err != nil {
		v.add("%v", err)
	}
	return events
}
