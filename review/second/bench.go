package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// bench holds what a case has started, and its record.
type bench struct {
	trouble bool
	dir     string
	began   time.Time

	mu        sync.Mutex
	file      *os.File
	processes []*process
	members   []*member
}

func newBench(ctx context.Context, trouble bool) (*bench, error) {
	if os.Getenv("RUN") == "" || os.Getenv(recordEnvKey) == "" {
		return nil, errors.New("RUN and RECORD must be set: start the case by its run.sh")
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(os.Getenv(recordEnvKey))
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	b := &bench{trouble: trouble, dir: dir, began: time.Now(), file: file}
	b.record("case", "trouble=%v", trouble)
	return b, nil
}

// record writes a line to the record and to standard output.
func (b *bench) record(who, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f %-10s %s\n", time.Since(b.began).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = b.file.WriteString(line)
	fmt.Print(line)
}

// close ends everything that the case has started.
func (b *bench) close() {
	for _, p := range b.processes {
		p.kill()
	}
	for _, m := range b.members {
		m.stop()
	}
	_ = b.file.Close()
	_ = os.RemoveAll(b.dir)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startRouter starts a router with a configuration file, by the deploy file's run line, and waits until it takes connections. fileName
// decides on the form of the file.
func (b *bench) startRouter(ctx context.Context, name, addr, fileName, config string) error {
	path := filepath.Join(b.dir, name+"-"+fileName)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		return err
	}
	command := exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	command.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME="+name, "PROXY_LISTEN="+addr, "TMPDIR="+b.dir)
	p, err := b.start(name, command)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			return conn.Close()
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s has ended: %s", name, p.log())
		case <-time.After(50 * time.Millisecond):
		}
	}
	return ctx.Err()
}

// client is a connection of a client to a router.
type client struct {
	b    *bench
	name string
	conn *pgconn.PgConn
}

func (b *bench) connect(ctx context.Context, name, addr string) (*client, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	conn, err := pgconn.Connect(ctx, "postgres://api@"+addr+"/ledger?sslmode=disable")
	if err != nil {
		b.record(name, "could not connect: %v", err)
		return nil, err
	}
	b.record(name, "connected")
	return &client{b: b, name: name, conn: conn}, nil
}

// query sends one simple query message and returns the last value that it gives.
func (c *client) query(ctx context.Context, sql string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	c.b.record(c.name, "-> %s", sql)
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	value := ""
	for _, result := range results {
		for _, row := range result.Rows {
			if len(row) > 0 {
				value = string(row[0])
			}
		}
	}
	if err != nil {
		c.b.record(c.name, "<- error %s %v", sqlState(err), err)
	} else {
		c.b.record(c.name, "<- %q, status %c", value, c.conn.TxStatus())
	}
	return value, err
}

func (c *client) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
}

// sqlState returns the code of an error response, or "" for any other error.
func sqlState(err error) string {
	var response *pgconn.PgError
	if errors.As(err, &response) {
		return response.Code
	}
	return ""
}

// extended runs a statement by the extended protocol.
func (c *client) extended(ctx context.Context, sql string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	c.b.record(c.name, "-> (extended) %s", sql)
	result := c.conn.ExecParams(ctx, sql, nil, nil, nil, nil).Read()
	if result.Err != nil {
		c.b.record(c.name, "<- error %s %v", sqlState(result.Err), result.Err)
		return result.Err
	}
	c.b.record(c.name, "<- %d rows", len(result.Rows))
	return nil
}
