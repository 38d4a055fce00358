package fleet

import (
	"fmt"
	"maps"
	"os/exec"
	"slices"

	"wayloft/internal/fakes/pgserver"
)

// RunCommand runs the program once, as an operator would, and gives what it printed.
func (f *Fleet) RunCommand(args ...string) (string, error) {
	if len(args) > 1 && (args[0] == "fleet" || args[0] == "council" || args[0] == "policy" && args[1] != "check") && !slices.Contains(args, "--config") && !slices.Contains(args, "--council") {
		for _, addr := range f.CoordinatorAddresses() {
			args = append(args, "--council", addr)
		}
		args = append(args, "--fleet", f.Options.FleetName)
	}
	out, err := exec.Command(f.Binary, args...).CombinedOutput()
	return string(out), err
}

// CheckLeases looks at what all processes wrote: at no receiver was an act taken under a fencing token lower than one taken there before, one
// fencing token has one holder, the coordinator's processes agree on what became so, and grants only grow, unless its state has gone back.
func CheckLeases(f *Fleet, goneBack bool) (wrong []string) {
	add := func(format string, args ...any) {
		if len(wrong) < 20 {
			wrong = append(wrong, fmt.Sprintf(format, args...))
		}
	}
	holders := map[string]string{}
	holds := func(who, duty, fence, holder string) {
		key := duty + " " + fence
		if other := holders[key]; other != "" && other != holder {
			add("%s: %s under %s is both %s's and %s's", who, duty, fence, other, holder)
		}
		holders[key] = holder
	}
	for _, p := range f.kind("router") {
		lines, err := f.AuditEvents(p.Name)
		if err != nil {
			add("%v", err)
		}
		top := map[string][2]uint64{}
		for _, l := range lines {
			duty, fence := l.Text("duty"), l.Text("fence")
			switch l.Text("what") {
			case "taken":
				key, at := duty+" "+l.Text("about"), ParseToken(fence)
				if was := top[key]; slices.Compare(at[:], was[:]) < 0 {
					add("%s took an act of %s for %s under %s after one under %v", p.Name, l.Text("holder"), duty, fence, was)
				}
				top[key] = at
				holds(p.Name, duty, fence, l.Text("holder"))
			case "start":
				holds(p.Name, duty, fence, p.Name)
			}
		}
	}
	if goneBack {
		return wrong
	}
	agreed := map[string]string{}
	for _, p := range f.kind("council") {
		lines, err := f.AuditEvents(p.Name)
		if err != nil {
			add("%v", err)
		}
		top := map[string][2]uint64{}
		for _, l := range lines {
			if l.Text("what") != "duty" || l.Text("session") == "" || l["ended"] == true {
				continue
			}
			at := ParseToken(l.Text("fence"))
			if was := top[l.Text("duty")]; slices.Compare(at[:], was[:]) < 0 && l.Text("fence") != "0.0" {
				// a process that starts again tells the tail of its log once more; what it tells must be the same
				if agreed[l.Text("duty")+" "+l.Text("fence")] != l.Text("session") {
					add("%s: %s was granted under %v after %v", p.Name, l.Text("duty"), at, was)
				}
				continue
			}
			top[l.Text("duty")] = at
			key := l.Text("duty") + " " + l.Text("fence")
			if other := agreed[key]; other != "" && other != l.Text("session") {
				add("%s says that %s is %s's, another says %s's", p.Name, key, l.Text("session"), other)
			}
			agreed[key] = l.Text("session")
		}
	}
	for key, holder := range holders {
		if other := agreed[key]; other != "" && other != holder {
			add("%s acted under %s, which the council gave to %s", holder, key, other)
		}
	}
	return wrong
}

// CheckWrites looks at the cluster's own log: what clients heard of as committed is there, exactly once; nothing is there twice; and
// who wrote had taken over last.
func CheckWrites(members string, load *WriteLoad) (wrong []string) {
	lines, err := pgserver.ReadLog(members)
	if err != nil {
		return []string{err.Error()}
	}
	times, writer := map[string]int{}, ""
	for _, l := range lines {
		if l.Part == "takes" {
			writer = l.By
		}
		if len(l.Writes) > 0 && l.By != writer {
			wrong = append(wrong, fmt.Sprintf("%s committed %v while %s had taken over", l.By, l.Writes[0], writer))
		}
		for _, w := range l.Writes {
			times[w[0]]++
		}
	}
	for _, handle := range slices.Sorted(maps.Keys(times)) {
		if times[handle] > 1 {
			wrong = append(wrong, fmt.Sprintf("%s is there %d times", handle, times[handle]))
		}
	}
	for _, handle := range load.Succeeded {
		if times[handle] == 0 {
			wrong = append(wrong, handle+" was told to be committed and is lost")
		}
	}
	for _, handle := range load.Rejected {
		if times[handle] > 0 {
			wrong = append(wrong, handle+" was told to be declined and has taken effect")
		}
	}
	return wrong[:min(len(wrong), 20)]
}
