package connpool

import "testing"

func BenchmarkRequest_IdleConnection(b *testing.B) {
	p := New(Settings{MaxTotal: 100, Pools: map[string]Bounds{"x": {PerMember: 16, WaitTimeoutMs: 1000}}})
	p.Advance(1)
	p.MemberListed("a", true)
	b.ReportAllocs()
	for n := range b.N {
		p.Advance(float64(n))
		p.Request(Request{ID: "r", Key: Key{"a", "x"}})
		for d, ok := p.Next(); ok; d, ok = p.Next() {
			switch d.Action {
			case Open:
				p.Opened(d.Conn)
				p.Advance(float64(n))
			case Assign:
				p.Release(d.Conn, nil)
			}
		}
	}
}
