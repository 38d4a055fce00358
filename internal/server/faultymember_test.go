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

// Whatever a member does during login or with a statement, each request gets exactly one final response, and the process stops after
// the last one.
func TestFaultyMember_EveryRequestAnswered(t *testing.T) {
	notice := append([]byte("N\x00\x00\x00\x0f"), "Mmuch of it\x00\x00"[:11]...)
	response := fakes.Rows("v")
	for _, c := range []struct {
		name     string
		greeting *fakes.Reply
		reply    *fakes.Reply
	}{
		{"never accepts the login", &fakes.Reply{}, nil},
		{"sends an incomplete greeting", &fakes.Reply{Bytes: pg.AppendStartupResponse(nil, 0)[:7]}, nil},
		{"closes during the login", &fakes.Reply{Close: true}, nil},
		{"notices in place of the greeting", &fakes.Reply{Bytes: []byte(strings.Repeat(string(notice), 1<<18))}, nil},
		{"hangs", nil, nil},
		{"hangs within a message header", nil, &fakes.Reply{Bytes: response[:3]}},
		{"hangs within a row", nil, &fakes.Reply{Bytes: response[:len(response)-16]}},
		{"hangs before ReadyForQuery", nil, &fakes.Reply{Bytes: response}},
		{"hangs after an error", nil, &fakes.Reply{Bytes: pg.AppendError(nil, &pg.Error{Code: "XX000", Text: "no"}, false)}},
		{"a row that is never complete", nil, &fakes.Reply{Bytes: append(response[:30:30], "D\x00\x07\x00\x00\x00\x01\x00\x06\xff\xf6xxx"...)}},
		{"notices without end", nil, &fakes.Reply{Bytes: []byte(strings.Repeat(string(notice), 1<<18))}},
		{"invalid bytes", nil, &fakes.Reply{Bytes: []byte("\x00\xff what?")}},
		{"closes", nil, &fakes.Reply{Close: true}},
		{"closes within a row", nil, &fakes.Reply{Bytes: response[:len(response)-16], Close: true}},
		{"has too many connections", nil, fakes.ErrorReply("53300")},
		{"has too many connections, and closes", nil, &fakes.Reply{Bytes: pg.AppendError(nil, &pg.Error{Code: "53300", Text: "no"}, true), Close: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := fakes.NewMember(t, c.greeting, func(sql string) *fakes.Reply {
				if sql == "SHOW vitals" {
					return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
				}
				return c.reply
			})
			addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, m.Addr)
			var clients []*fakes.Client
			for n := range 8 {
				client := fakes.NewClient(t, addr, true)
				client.SendQuery(fmt.Sprintf("/* id=%d,c=%s,t=n,d=%d,cluster=2 */ SELECT x", n, []string{"look", "put"}[n%2], 300+n/2*300))
				clients = append(clients, client)
			}
			signals <- syscall.SIGTERM
			for n, client := range clients {
				got := client.ReadResponse()
				if code, rest, _ := strings.Cut(got, " "); len(code) != 5 || rest != "ready" {
					t.Errorf("request %d: %q, want one error", n, got)
				}
				if got := client.ReadResponse(); got != "closed" {
					t.Errorf("after the response to request %d: %q, want the session closed", n, got)
				}
				closeSocket(client)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
