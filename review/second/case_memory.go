package main

import (
	"context"
	"fmt"
	"os"
	"strings"
)

func init() { cases["memory"] = playMemory }

const (
	statementBytes = 6 << 20 // of one prepared statement: less than the longest message
	manyStatements = 100     // of the 1,000 that a session may have
	memoryKB       = 512 << 10
)

// playMemory: a client prepares statements, fewer than a session may have.
func playMemory(ctx context.Context, b *bench) (broken []string, err error) {
	_, members, err := b.newCluster("m0")
	if err != nil {
		return nil, err
	}
	addr, err := b.startPool(ctx, members, "answers", 4)
	if err != nil {
		return nil, err
	}
	buyer, err := b.connectServed(ctx, "buyer", addr)
	if err != nil {
		return nil, err
	}
	defer buyer.close()
	size := statementBytes
	if !b.trouble {
		size = 1 << 10
	}
	for n := range manyStatements {
		sql := fmt.Sprintf("SELECT %d /* %s */", n, strings.Repeat("x", size))
		if _, err := buyer.conn.Prepare(ctx, fmt.Sprint("s", n), sql, nil); err != nil {
			b.record("buyer", "statement %d: %v", n, err)
			break
		}
	}
	peak, err := b.processes[0].peakKB()
	if err != nil {
		return nil, err
	}
	b.record("router", "peak of %d kB with %d statements", peak, manyStatements)
	if peak > memoryKB {
		broken = append(broken, fmt.Sprintf("the router takes %d kB where its file says %d", peak, memoryKB))
	}
	return broken, nil
}

// peakKB returns the most memory that the process has had resident.
func (p *process) peakKB() (peak int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	_, err = fmt.Sscan(after, &peak)
	return peak, err
}
