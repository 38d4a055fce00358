package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"wayloft/internal/lab/size"
)

type labSizeCmd struct {
	Routers int           `help:"Hollow routers." default:"60"`
	Real    int           `help:"Real routers among them." default:"3"`
	Members int           `help:"Hollow databases." default:"100"`
	Group   int           `help:"Databases of one group." default:"5"`
	Owners  int           `help:"Owners of sight, one group each; 0: none." default:"1"`
	Sight   time.Duration `help:"Between two looks of an owner at a database." default:"250ms"`
	Session time.Duration `help:"Length of a router's session with the council." default:"2s"`
	Pace    time.Duration `help:"Between the starts of two routers." default:"30ms"`
	For     time.Duration `help:"Length of each look." default:"10s"`
	JSON    bool          `help:"As JSON."`
	Dir     string        `help:"Folder for settings, logs and what the council stores; a temporary one if not given." type:"path"`
}

func (c *labSizeCmd) options() (o size.Options, done func(), err error) {
	o = size.Options{Dir: c.Dir, Routers: c.Routers, Real: c.Real, Members: c.Members, Group: c.Group, Owners: c.Owners, Sight: c.Sight, For: c.For,
		Session: c.Session, Pace: c.Pace}
	if err := o.Check(); err != nil {
		return o, nil, err
	}
	if o.Binary, err = os.Executable(); err != nil {
		return o, nil, err
	}
	done = func() {}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "wayloft-size-"); err != nil {
			return o, nil, err
		}
		done = func() { os.RemoveAll(o.Dir) }
	}
	return o, done, nil
}

func (c *labSizeCmd) Run() error {
	o, done, err := c.options()
	if err != nil {
		return err
	}
	defer done()
	r, err := size.Measure(o)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	fmt.Printf("%d hollow and %d real routers, %d databases in %d groups; settled after %.1f s\n", r.Routers, r.Real, r.Members, r.Groups, r.StartS)
	size.Print(os.Stdout, r.Rows)
	return nil
}

type labHollowCmd struct{}

func (labHollowCmd) Run() error { return size.Hollow(os.Stdin, os.Stdout) }
