package frontend

import (
	"net"
	"testing"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/memory"
	decide "wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/router"
)

const (
	statementDatabase = "plain"  // its clients are in statement-comment mode
	pooledDatabase    = "pooled" // its clients are in transaction pooling mode

	testMaxHeldBytes    = 1 << 20
	testMaxMessageBytes = 1 << 16
	testMaxUnsent       = 1 << 20
	testDescriptors     = 256
)

// testFrontend is a Frontend with its own event loop that listens on the loopback address.
type testFrontend struct {
	t        *testing.T
	driver   *eventloop.Driver
	frontend *Frontend
	addr     string
	ended    chan struct{} // closed once the event loop has ended
}

// newTestFrontend starts a Frontend whose router has no request classes and no members. Its event loop is stopped when the test ends.
func newTestFrontend(t *testing.T, maxSessions int) *testFrontend {
	t.Helper()
	f := startTestFrontend(t, maxSessions, &router.Settings{}, nil, nil)
	f.stopAtEnd()
	return f
}

// startTestFrontend starts a Frontend with this backend and a router with these settings.
func startTestFrontend(t *testing.T, maxSessions int, settings *router.Settings, classes map[string]*router.RequestClass, backend eventloop.Backend) *testFrontend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	driver := eventloop.New(eventloop.NewLoop(testDescriptors), router.New(settings, 1), classes, func() {})
	driver.SetBackend(backend)
	f := &testFrontend{t: t, driver: driver, frontend: New(driver, maxSessions, memory.NewAccount(testMaxHeldBytes), testMaxMessageBytes),
		addr: listener.Addr().String(), ended: make(chan struct{})}
	f.frontend.SetPooling(&Pooling{Pools: []*Pool{
		{Name: "p", Database: pooledDatabase, Policy: decide.Policy{MaxSettingsBytes: 1 << 12, MaxStatements: 8}, DefaultClass: "read", KnownParameters: iradix.New[string]},
		{Name: "s", Database: statementDatabase, StatementMode: true},
	}})
	if err := driver.Listen(f.frontend.Gate(listener), testMaxUnsent, f.frontend.Accept); err != nil {
		t.Fatal(err)
	}
	go func() {
		driver.Run()
		close(f.ended)
	}()
	return f
}

// stopAtEnd stops the event loop when the test ends.
func (f *testFrontend) stopAtEnd() {
	f.t.Cleanup(func() {
		f.driver.Post(f.driver.Stop)
		<-f.ended
	})
}

// runOnLoop runs a function on the event loop and waits until it returns.
func (f *testFrontend) runOnLoop(run func()) {
	done := make(chan struct{})
	f.driver.Post(func() {
		run()
		close(done)
	})
	<-done
}

// waitUntil polls a condition on the event loop until it holds. what describes it in the failure message.
func (f *testFrontend) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	fakes.WaitUntil(f.t, what, func() (now bool) {
		f.runOnLoop(func() { now = condition() })
		return now
	})
}

// onlySession returns the only session. It must be called on the event loop.
func (f *testFrontend) onlySession() (only *session) {
	for s := range f.frontend.sessions {
		only = s
	}
	return only
}

// connect opens a connection.
func (f *testFrontend) connect() net.Conn {
	f.t.Helper()
	client, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = client.Close() }) // the test may have closed it
	return client
}

// connectSilent opens connections that send nothing, and returns their sessions.
func (f *testFrontend) connectSilent(n int) (sessions []*session) {
	f.t.Helper()
	for range n {
		f.connect()
	}
	for len(sessions) < n {
		f.runOnLoop(func() {
			sessions = sessions[:0]
			for s := range f.frontend.sessions {
				s.inputDeadline = 1e18 // no session may reach the input timeout during the test
				sessions = append(sessions, s)
			}
		})
	}
	return sessions
}

// dial opens a session and sends an empty query if withQuery is set. It returns once the client has received the responses.
func (f *testFrontend) dial(database string, withQuery bool) net.Conn {
	f.t.Helper()
	client := f.connect()
	out, ready := pg.AppendStartup(nil, "u", database), 1
	if withQuery {
		out, ready = pg.AppendQuery(out, ""), 2
	}
	f.exchange(client, out, ready)
	return client
}

// dialAndClose opens a session, sends an empty query, waits for the response and closes the connection.
func (f *testFrontend) dialAndClose() {
	f.t.Helper()
	if err := f.dial(statementDatabase, true).Close(); err != nil {
		f.t.Error(err)
	}
}

// exchange sends bytes and reads until the given number of ReadyForQuery messages has been received.
func (f *testFrontend) exchange(client net.Conn, out []byte, ready int) {
	f.t.Helper()
	f.write(client, out)
	reader, buffer := pg.NewReader(true, testMaxMessageBytes), make([]byte, 1<<12)
	for reader.EnableExtended(); ready > 0; {
		m, complete, err := reader.Next()
		if err != nil {
			f.t.Fatal(err)
		}
		if !complete {
			n, err := client.Read(buffer)
			if err != nil {
				f.t.Fatal(err)
			}
			reader.Feed(buffer[:n])
		} else if m.Kind == pg.ReadyForQuery {
			ready--
		}
	}
}

func (f *testFrontend) write(client net.Conn, out []byte) {
	f.t.Helper()
	if _, err := client.Write(out); err != nil {
		f.t.Fatal(err)
	}
}
