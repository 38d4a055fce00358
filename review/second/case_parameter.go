package main

import (
	"context"
	"fmt"
	"strings"
)

func init() { cases["parameter"] = playParameter }

// playParameter: a buyer changes a setting that servers report; another buyer connects, and writes its strings by what it was told.
func playParameter(ctx context.Context, b *bench) (broken []string, err error) {
	const setting, value = "standard_conforming_strings", `C:\quay`
	c, members, err := b.newCluster("m0")
	if err != nil {
		return nil, err
	}
	addr, err := b.startPool(ctx, members, "answers", 2)
	if err != nil {
		return nil, err
	}
	first, err := b.connectServed(ctx, "buyer-1", addr)
	if err != nil {
		return nil, err
	}
	defer first.close()
	if b.trouble {
		if _, err := first.query(ctx, "SET "+setting+" TO off"); err != nil {
			return nil, err
		}
	}
	second, err := b.connect(ctx, "buyer-2", addr)
	if err != nil {
		return nil, err
	}
	defer second.close()
	told := second.conn.ParameterStatus(setting)
	b.record("buyer-2", "was told at its start that %s is %s", setting, told)
	literal := value
	if told == "off" { // as libpq's PQescapeStringConn does
		literal = strings.ReplaceAll(value, `\`, `\\`)
	}
	if _, err := second.query(ctx, "INSERT INTO rows (handle, blob) VALUES ('order', '"+literal+"')"); err != nil {
		return nil, err
	}
	actual, err := second.query(ctx, "SHOW "+setting)
	if err != nil {
		return nil, err
	}
	if told != actual {
		broken = append(broken, fmt.Sprintf("buyer-2 has set nothing; at its start it was told %s = %s, which buyer-1 has set, and has %s", setting, told, actual))
	}
	for _, row := range c.rows("order", nowMs()) {
		if row.blob != value {
			broken = append(broken, fmt.Sprintf("buyer-2 meant %q, and %q is stored", value, row.blob))
		}
	}
	return broken, nil
}
