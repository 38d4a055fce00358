package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes the output of a command and keeps the first write error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(p.out, format, args...); err != nil && p.err == nil {
		p.err = err
	}
}

func (p *printer) println(args ...any) {
	if _, err := fmt.Fprintln(p.out, args...); err != nil && p.err == nil {
		p.err = err
	}
}

// table aligns the columns of rows whose cells are separated by tabs.
func (p *printer) table(printRows func(rows *printer)) {
	columns := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	rows := &printer{out: columns}
	printRows(rows)
	if err := columns.Flush(); err != nil && p.err == nil {
		p.err = err
	}
}

// json prints a value as indented JSON.
func (p *printer) json(value any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
