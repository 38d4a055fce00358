package main

import (
	"strconv"
	"strings"
)

// switchoverStatement runs the statements of a planned switchover, as [fleet.handover] in deploy/fleet.toml names them. It reports whether
// the statement is one of them.
func (d *backend) switchoverStatement(sql string) bool {
	lower := strings.ToLower(sql)
	switch {
	case strings.HasPrefix(lower, "select wayloft_takes_writes()"):
		d.row("takes", map[bool]string{true: "t", false: "f"}[d.m.isPrimary()])
		d.complete("SELECT 1")
	case strings.HasPrefix(lower, "select fence from wayloft_guard"):
		d.m.mu.Lock()
		guard := d.m.guard
		d.m.mu.Unlock()
		d.row("fence", strconv.FormatUint(guard, 10))
		d.complete("SELECT 1")
	case strings.HasPrefix(lower, "update wayloft_guard set fence ="):
		d.raiseGuard(strings.Fields(lower)[5])
	case strings.HasPrefix(lower, "select wayloft_yield()"), strings.HasPrefix(lower, "select wayloft_take()"):
		d.stagedStep = "yield"
		if strings.Contains(lower, "take()") {
			d.stagedStep = "take"
		}
		d.row(d.stagedStep, "")
		d.complete("SELECT 1")
	default:
		return false
	}
	return true
}

// raiseGuard updates the guard row within the transaction, unless it holds a higher number.
func (d *backend) raiseGuard(text string) {
	number, err := strconv.ParseUint(text, 10, 64)
	d.m.mu.Lock()
	higher := d.m.guard > number
	d.m.mu.Unlock()
	if err != nil || higher {
		d.complete("UPDATE 0")
		return
	}
	d.stagedFence = number
	d.complete("UPDATE 1")
}

// commitStep commits what a switchover has staged in the transaction.
func (d *backend) commitStep() {
	step, fence := d.stagedStep, d.stagedFence
	d.stagedStep, d.stagedFence = "", 0
	if fence == 0 {
		return
	}
	d.m.mu.Lock()
	late := d.m.guard > fence
	if !late {
		d.m.guard = fence
	}
	d.m.mu.Unlock()
	if late || step == "" {
		return
	}
	d.m.b.record(d.m.name, "was told to %s", step)
	d.m.setPrimary(step == "take")
}
