package server

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// Whatever a member does at its login or with a statement, each request gets one final response, and the process ends behind the
// last.
func TestFaultyMember_EveryRequestAnswered(t *testing.T) {
	notice := append([]byte("N\x00\x00\x00\x0f"), "Mmuch of it\x00\x00"[:11]...)
	whole := fakes.Rows("v")
	for _, c := range []struct {
		name  string
		greet *fakes.Reply
		reply *fakes.Reply
	}{
		{"never lets in", &fakes.Reply{}, nil},
		{"lets in half", &fakes.Reply{Bytes: pg.AppendGreeting(nil, 0)[:7]}, nil},
		{"ends before it lets in", &fakes.Reply{Close: true}, nil},
		{"notices in place of the greeting", &fakes.Reply{Bytes: []byte(strings.Repeat(string(notice), 1<<18))}, nil},
		{"hangs", nil, nil},
		{"hangs in a head", nil, &fakes.Reply{Bytes: whole[:3]}},
		{"hangs in a row", nil, &fakes.Reply{Bytes: whole[:len(whole)-16]}},
		{"hangs before it is ready", nil, &fakes.Reply{Bytes: whole}},
		{"hangs behind an error", nil, &fakes.Reply{Bytes: pg.AppendError(nil, &pg.Error{Code: "XX000", Text: "no"}, false)}},
		{"a row that is never whole", nil, &fakes.Reply{Bytes: append(whole[:30:30], "D\x00\x07\x00\x00\x00\x01\x00\x06\xff\xf6xxx"...)}},
		{"notices without end", nil, &fakes.Reply{Bytes: []byte(strings.Repeat(string(notice), 1<<18))}},
		{"noise", nil, &fakes.Reply{Bytes: []byte("\x00\xff what?")}},
		{"ends", nil, &fakes.Reply{Close: true}},
		{"ends in a row", nil, &fakes.Reply{Bytes: whole[:len(whole)-16], Close: true}},
		{"is full", nil, fakes.Fail("53300")},
		{"is full, and ends", nil, &fakes.Reply{Bytes: pg.AppendError(nil, &pg.Error{Code: "53300", Text: "no"}, true), Close: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := fakes.NewMember(t, c.greet, func(sql string) *fakes.Reply {
				if sql == "SHOW vitals" {
					return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
				}
				return c.reply
			})
			addr, term, ended := startRouter(t, "127.0.0.1:1", 256, m.Addr)
			var all []*fakes.Client
			for n := range 8 {
				one := fakes.NewClient(t, addr, true)
				one.Ask(fmt.Sprintf("/* id=%d,c=%s,t=n,d=%d,cluster=2 */ SELECT x", n, []string{"look", "put"}[n%2], 300+n/2*300))
				all = append(all, one)
			}
			term <- syscall.SIGTERM
			for n, one := range all {
				got := one.Answer()
				if code, rest, _ := strings.Cut(got, " "); len(code) != 5 || rest != "ready" {
					t.Errorf("request %d: %q, want one error", n, got)
				}
				if got := one.Answer(); got != "closed" {
					t.Errorf("request %d, then: %q", n, got)
				}
				closeSocket(one)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
