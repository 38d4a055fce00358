package frontend

import (
	"fmt"
	"net"
	"testing"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// A request can be asked whether its client has closed, before the loop has heard of it: the loop is busy with asking when the
// client closes. One that sends more has not.
func TestARequestKnowsThatItsClientClosed(t *testing.T) {
	kinds := map[string]*router.RequestClass{"read": {LatencyObjective: 60000, Deadline: 60000, PriorityWeight: 1, LateWeightShare: 1}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := eventloop.New(eventloop.NewLoop(256), router.New(&router.Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, RequestClasses: kinds}, 1), kinds, func() {})
	f := &front{t: t, host: h, all: New(h, 10, 1<<20, 1<<16), addr: l.Addr().String()}
	f.all.SetPooling(&Pooling{Pools: []*Pool{{Name: "p", Database: "pooled", Policy: decide.Policy{MaxSettingsBytes: 1 << 12, MaxStatements: 8},
		DefaultClass: "read", KnownParameters: iradix.New[string]}, {Name: "s", Database: "plain", StatementMode: true}}})
	h.SetBackend(nobody{})
	if err := h.Listen(f.all.Gate(l), 1<<20, f.all.Accept); err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { h.Run(); close(ended) }()
	t.Cleanup(func() { h.Post(h.Stop); <-ended })
	for _, database := range []string{"plain", "pooled"} {
		t.Run(database, func(t *testing.T) {
			c := f.dial(database, false)
			ask := func(id string) {
				if _, err := c.Write(pg.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=read,d=60000,cluster=1 */ SELECT x", id))); err != nil {
					t.Fatal(err)
				}
			}
			ask(database)
			var one *request.Request
			fakes.Until(t, "its request is there", func() bool {
				f.do(func() {
					for s := range f.all.sessions {
						if one = s.request; s.pooled != nil {
							one = s.pooled.request
						}
					}
				})
				return one != nil
			})
			f.do(func() {
				if one.Abandoned() {
					t.Error("closed, at first")
				}
				ask("ahead")
				if one.Abandoned() {
					t.Error("closed, when it sends more")
				}
				c.Close()
				if !one.Abandoned() || one.Finished() {
					t.Error("not closed, before the loop has heard of it")
				}
			})
			fakes.Until(t, "its session ends", func() (none bool) {
				f.do(func() { none = len(f.all.sessions) == 0 })
				return none
			})
		})
	}
}

// nobody carries nothing: there is no member.
type nobody struct{ eventloop.Backend }

func (nobody) Abandon(string) {}
