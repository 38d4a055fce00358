package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/lab/hostile"
)

type labHostileCmd struct {
	Forms       []string      `help:"Forms to measure: platform, pool." default:"platform,pool"`
	Peers       []string      `help:"Kinds of hostile clients whose names contain one of these texts; by default all." placeholder:"TEXT"`
	Memory      []int         `help:"Memory limits in MiB." default:"32,64,192"`
	Descriptors []int         `help:"Descriptor limits." default:"256,1024"`
	RunDuration time.Duration `name:"for" help:"How long the hostile clients stay." default:"5s"`
	Alone       time.Duration `help:"How long the well-behaved clients are measured alone." default:"2s"`
	Neighbors   int           `help:"Busy processes on the router's core; 3 leave it a quarter."`
	Seed        int64         `help:"Seed of the clients' pauses and choices."`
	JSON        bool          `name:"json" help:"Print a JSON object for each row."`
	Program     string        `help:"The wayloft binary to measure; by default this one." type:"existingfile" placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*labHostileCmd) Help() string {
	return "Example: wayloft lab hostile --forms platform --memory 32 --descriptors 1024 --peers encryption,half"
}

func (c *labHostileCmd) Run(out *printer) error {
	logrus.SetLevel(logrus.ErrorLevel)
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = self
	}
	if !c.JSON {
		out.printf("%s\n", hostile.Header)
	}
	for _, run := range c.runs() {
		row, err := run.Measure(context.Background())
		if err != nil {
			return fmt.Errorf("%s: %w", run.Peer.Name, err)
		}
		if err := c.print(out, row); err != nil {
			return err
		}
	}
	return nil
}

// runs returns a run for each combination of form, kind of peer and limits.
func (c *labHostileCmd) runs() (runs []hostile.Run) {
	for _, form := range c.Forms {
		for _, peer := range hostile.Peers(hostile.Form(form)) {
			if !c.selects(peer.Name) {
				continue
			}
			for _, memory := range c.Memory {
				for _, descriptors := range c.Descriptors {
					runs = append(runs, hostile.Run{Program: c.Program, Form: hostile.Form(form), Peer: peer, MemoryMiB: memory,
						Descriptors: descriptors, Alone: c.Alone, Duration: c.RunDuration, OneCore: true, Neighbors: c.Neighbors, Seed: c.Seed})
				}
			}
		}
	}
	return runs
}

func (c *labHostileCmd) selects(peer string) bool {
	for _, text := range c.Peers {
		if strings.Contains(peer, text) {
			return true
		}
	}
	return len(c.Peers) == 0
}

// print prints a row, and the targets that it misses.
func (c *labHostileCmd) print(out *printer, row *hostile.Row) error {
	if c.JSON {
		text, err := json.Marshal(row)
		if err != nil {
			return err
		}
		out.printf("%s\n", text)
		return nil
	}
	out.printf("%s\n", row)
	for _, failure := range row.Failures() {
		out.printf("    missed: %s\n", failure)
	}
	return nil
}
