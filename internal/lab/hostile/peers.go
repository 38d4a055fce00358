package hostile

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wayloft/internal/pg"
)

const (
	floodConnections = 6   // clients that send at full speed
	crowdConnections = 400 // clients that write slowly, stop halfway or don't read
	readerCount      = 100 // clients that don't read

	floodChunkBytes  = 16 << 10
	slowWritePause   = 20 * time.Millisecond
	slowWriteBytes   = 1 << 10
	reconnectPause   = 20 * time.Millisecond
	partBytes        = 60 << 10 // sent of a large request before the client stops
	largeQueryBytes  = 64 << 10
	startupFieldSize = 4 // bytes of a startup parameter with a name and a value of one byte
	startupBytes     = 9900
)

const sslRequest = "\x00\x00\x00\x08\x04\xd2\x16\x2f"

// Peer is a kind of hostile client.
type Peer struct {
	Name        string
	Connections int           // open at a time
	Again       bool          // connects again at once, without a pause
	memberTime  time.Duration // that a member takes for a statement; 0: memberResponseTime
	// attack speaks on one connection until it ends or ctx is done.
	speak func(ctx context.Context, c *peerConn) error
}

// peerResult is what hostile clients did and got.
type peerResult struct {
	sent, connections, unanswered atomic.Int64
	attempts                      *attemptLog
	longestWait                   atomic.Int64 // ns from the dial to the first byte received after the login, or the end
}

// peerConn is a hostile client's connection.
type peerConn struct {
	net.Conn
	random  *rand.Rand
	result  *peerResult
	address string
	opened  time.Time
	number  int64 // unique among the connections of the peer
	names   int   // names made up so far
}

// send writes b, and counts it.
func (c *peerConn) send(b []byte) error {
	n, err := c.Write(b)
	c.result.sent.Add(int64(n))
	return err
}

// dialAgain opens a further connection to the router, which the caller must close.
func (c *peerConn) dialAgain(ctx context.Context) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
}

// newName returns a name that no connection has used before.
func (c *peerConn) newName() string {
	c.names++
	return fmt.Sprintf("n%d-%d", c.number, c.names)
}

// attack keeps the peer's connections open until ctx is done, and waits for their end.
func (p Peer) attack(ctx context.Context, address string, seed int64, attempts *attemptLog) *peerResult {
	result := &peerResult{attempts: attempts}
	var running sync.WaitGroup
	for n := range p.Connections {
		random := rand.New(rand.NewPCG(uint64(seed), uint64(n)))
		running.Go(func() {
			for ctx.Err() == nil {
				p.connectOnce(ctx, address, random, result)
				if !p.Again {
					time.Sleep(time.Duration(random.Int64N(int64(2 * reconnectPause))))
				}
			}
		})
	}
	running.Wait()
	return result
}

// connectOnce opens one connection, and speaks on it until it ends or ctx is done.
func (p Peer) connectOnce(ctx context.Context, address string, random *rand.Rand, result *peerResult) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	c := &peerConn{Conn: connection, random: random, result: result, address: address, opened: time.Now(), number: result.connections.Add(1)}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() }) // a second close does no harm
	defer stop()
	_ = p.speak(ctx, c) // it ends with the connection
	_ = connection.Close()
	if ctx.Err() == nil {
		c.recordWait()
	}
}

// recordWait records how long the connection took to be answered or ended.
func (c *peerConn) recordWait() {
	waited := int64(time.Since(c.opened))
	for longest := c.result.longestWait.Load(); waited > longest; longest = c.result.longestWait.Load() {
		if c.result.longestWait.CompareAndSwap(longest, waited) {
			return
		}
	}
}

// flood sends what next returns at full speed, and reads and drops whatever comes.
func flood(login bool, next func(c *peerConn) []byte) func(context.Context, *peerConn) error {
	return func(_ context.Context, c *peerConn) error {
		go func() { _, _ = io.Copy(io.Discard, c) }() // ends with the connection
		if login {
			if err := c.send(pg.AppendStartup(nil, "api", "ledger")); err != nil {
				return err
			}
		}
		for {
			if err := c.send(next(c)); err != nil {
				return err
			}
		}
	}
}

// repeat returns a function for flood that sends copies of one message.
func repeat(message []byte) func(*peerConn) []byte {
	chunk := []byte(strings.Repeat(string(message), max(1, floodChunkBytes/len(message))))
	return func(*peerConn) []byte { return chunk }
}

// stop sends the bytes, in small pieces if slowly is set, and then waits for the end of the connection without a further word.
func stop(slowly bool, bytes func(c *peerConn) []byte) func(context.Context, *peerConn) error {
	return func(_ context.Context, c *peerConn) error {
		rest := bytes(c)
		size := len(rest)
		if slowly {
			size = slowWriteBytes
		}
		for ; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			if err := c.send(rest[:min(size, len(rest))]); err != nil {
				return err
			}
			if slowly {
				time.Sleep(slowWritePause)
			}
		}
		_, err := io.Copy(io.Discard, c)
		return err
	}
}

// neverRead logs in, asks for large rows over and over, and reads nothing.
func neverRead(form Form) func(context.Context, *peerConn) error {
	return func(ctx context.Context, c *peerConn) error {
		if err := c.send(pg.AppendStartup(nil, "api", "ledger")); err != nil {
			return err
		}
		for range 200 {
			if err := c.send(statement(form, c.newName(), "look", fmt.Sprintf("SELECT blob FROM rows WHERE handle = '%s'", largeRowHandle))); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return nil
	}
}

// shortLived connects, sends a few bytes and leaves at once.
func shortLived(bytes []byte) func(context.Context, *peerConn) error {
	return func(_ context.Context, c *peerConn) error { return c.send(bytes) }
}

// answered sends requests one by one at full speed, each after the response to the one before.
func answered(next func(c *peerConn) []byte) func(context.Context, *peerConn) error {
	return func(_ context.Context, c *peerConn) error {
		reader, buffer := pg.NewReader(true, bytesPerMiB), make([]byte, floodChunkBytes)
		message := pg.AppendStartup(nil, "api", "ledger")
		for {
			if err := c.send(message); err != nil {
				return err
			}
			if err := readReady(c, reader, buffer); err != nil {
				return err
			}
			message = next(c)
		}
	}
}

// readReady reads up to the next ReadyForQuery.
func readReady(c *peerConn, reader *pg.Reader, buffer []byte) error {
	for {
		m, ok, err := reader.Next()
		if err != nil || ok && m.Kind == pg.ReadyForQuery {
			return err
		}
		if ok {
			continue
		}
		n, err := c.Read(buffer)
		if err != nil {
			return err
		}
		reader.Feed(buffer[:n])
	}
}

// statement returns a request with a statement in a form's shape.
func statement(form Form, id, class, sql string) []byte {
	if form == Pool {
		return pg.AppendQuery(nil, sql)
	}
	return pg.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=%s,d=2000,cluster=%d */ %s", id, class, memberGroup, sql))
}

func largeRow() string { return strings.Repeat("x", largeRowBytes) }

// startupOfShortFields returns a startup message with as many parameters as it may hold.
func startupOfShortFields() []byte {
	var parameters []pg.Setting
	for n := range startupBytes / startupFieldSize {
		parameters = append(parameters, pg.Setting{Name: string(rune('a' + n%20)), Value: string(rune('a' + n%26))})
	}
	return pg.AppendStartup(nil, "api", "ledger", parameters...)
}

// loginAnd returns a startup message followed by these bytes.
func loginAnd(bytes []byte) []byte { return append(pg.AppendStartup(nil, "api", "ledger"), bytes...) }

// Peers returns all kinds of hostile clients of a form.
func Peers(form Form) []Peer {
	query := func(sql string) []byte { return pg.AppendQuery(nil, sql) }
	largeQuery := statement(form, "large", "look", "SELECT blob FROM rows WHERE handle = '"+strings.Repeat("y", largeQueryBytes)+"'")
	fields := "/* " + strings.Repeat("a=b,", partBytes/len("a=b,")) + "id=f,c=look,d=100 */ SELECT 1"
	read := "SELECT blob FROM rows WHERE handle = 'h1'"
	part := func(*peerConn) []byte { return loginAnd(largeQuery[:partBytes]) }
	flooding := func(name string, speak func(context.Context, *peerConn) error) Peer {
		return Peer{Name: name, Connections: floodConnections, Again: true, speak: speak}
	}
	crowd := func(name string, speak func(context.Context, *peerConn) error) Peer {
		return Peer{Name: name, Connections: crowdConnections, speak: speak}
	}
	peers := []Peer{
		flooding("asks for encryption", flood(false, repeat([]byte(sslRequest)))),
		flooding("empty queries", flood(true, repeat(query("")))),
		flooding("unsound statements", flood(true, repeat(query("/* id */ SELECT 1")))),
		flooding("syncs", flood(true, repeat(pg.AppendSync(nil)))),
		flooding("flushes", flood(true, repeat(pg.AppendEmptyMessage(nil, 'H')))),
		flooding("large queries", flood(true, func(*peerConn) []byte { return largeQuery })),
		flooding("noise", flood(true, repeat([]byte("\x00\xff\x13noise")))),
		flooding("new names", answered(func(c *peerConn) []byte { return statement(form, c.newName(), c.newName(), read) })),
		flooding("new ids", answered(func(c *peerConn) []byte { return statement(form, c.newName(), "look", read) })),
		flooding("new ids ahead", flood(true, func(c *peerConn) []byte { return statement(form, c.newName(), "look", read) })),
		flooding("reconnects", shortLived(pg.AppendStartup(nil, "api", "ledger"))),
		flooding("cancels", shortLived(pg.AppendCancelRequest(nil, pg.CancelKey{Process: 1, Secret: 2}))),
		crowd("half a large request", stop(false, part)),
		crowd("slow writers", stop(true, part)),
		crowd("startup, short fields", stop(false, func(*peerConn) []byte { b := startupOfShortFields(); return b[:len(b)-1] })),
		crowd("logins, short fields", shortFieldLogins),
		crowd("comment, short fields", stop(true, func(*peerConn) []byte { b := query(fields); return loginAnd(b[:len(b)-1]) })),
		{Name: "never read", Connections: readerCount, speak: neverRead(form)},
	}
	if form == Platform {
		peers = append(peers, leavers()...)
	}
	if form == Pool {
		peers = append(peers,
			flooding("new settings", answered(func(c *peerConn) []byte {
				return query("SET x." + strings.ReplaceAll(c.newName(), "-", "_") + " = '1'")
			})),
			flooding("new statements", answered(func(c *peerConn) []byte {
				return pg.AppendSync(pg.AppendParse(nil, c.newName(), []byte("SELECT 1\x00\x00\x00")))
			})),
			flooding("binds, short fields", answered(func(*peerConn) []byte { return bindOfShortFields() })),
			crowd("parts without a sync", stop(false, func(*peerConn) []byte { return loginAnd(partsWithoutSync()) })),
		)
	}
	return peers
}

// shortFieldLogins logs in with many short parameters, and leaves.
func shortFieldLogins(_ context.Context, c *peerConn) error {
	if err := c.send(startupOfShortFields()); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, floodChunkBytes))
	return err
}

// bindOfShortFields returns a Bind with many empty values, for a statement that takes none, and a Sync.
func bindOfShortFields() []byte {
	const values = 10000
	tail := append([]byte{0, 0, values >> 8, values & 0xff}, make([]byte, 4*values)...)
	bind := pg.AppendBind(pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00")), "", "", append(tail, 0, 0))
	return pg.AppendSync(bind)
}

// partsWithoutSync returns many small messages of a unit that is not completed.
func partsWithoutSync() []byte {
	var out []byte
	for len(out) < partBytes {
		out = pg.AppendBind(out, "", "", []byte{0, 0, 0, 0, 0, 0})
	}
	return out
}
