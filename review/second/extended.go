package main

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// extended handles a message of the extended protocol, for statements without parameters.
func (d *backend) extended(message pgproto3.FrontendMessage) {
	if sync, ok := message.(*pgproto3.Sync); ok && sync != nil {
		if d.status == 'I' && !d.skipping {
			d.commit()
		}
		d.skipping, d.sent.kept = false, nil
		d.ready()
		return
	}
	_, d.wasFlush = message.(*pgproto3.Flush)
	if d.skipping {
		return
	}
	if err := d.extendedStep(message); err != nil {
		d.fail(err)
		d.skipping = true
	}
}

func (d *backend) extendedStep(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		d.parsed[message.Name] = stripComment(message.Query)
		d.out.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, known := d.parsed[message.PreparedStatement]
		if !known {
			return &stateError{"26000", "prepared statement does not exist"}
		}
		d.portal = text
		for n, value := range message.Parameters {
			d.portal = strings.ReplaceAll(d.portal, "$"+strconv.Itoa(n+1), string(value))
		}
		d.out.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if message.ObjectType == 'S' {
			d.out.Send(&pgproto3.ParameterDescription{})
		}
		if strings.HasPrefix(strings.ToUpper(d.portal), "SELECT") {
			d.out.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25, DataTypeSize: -1}}})
		} else {
			d.out.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		d.m.b.record(d.m.name, "executes %q as %s", shorten(d.portal), d.user())
		if d.status == 'I' && d.atBegin == nil {
			d.atBegin = copyOf(d.settings)
		}
		d.noDescription = true
		defer func() { d.noDescription = false }()
		err := d.statement(d.portal)
		d.m.mu.Lock()
		after := d.m.after
		d.m.mu.Unlock()
		if after != nil {
			after(d.portal)
		}
		return err
	case *pgproto3.Close:
		if message.ObjectType == 'S' {
			delete(d.parsed, message.Name)
		}
		d.out.Send(&pgproto3.CloseComplete{})
	}
	return nil
}
