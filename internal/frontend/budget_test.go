package frontend

import (
	"testing"

	"wayloft/internal/pg"
)

// Guards against ending a session that holds little memory because other sessions have exhausted the memory budget for statements. A
// small request arrives in two reads meanwhile; its session must stay open and get the final response.
func TestBudget_SmallRequestWhileOthersHoldAll(t *testing.T) {
	for _, database := range []string{statementDatabase, pooledDatabase} {
		t.Run(database, func(t *testing.T) {
			f := newTestFrontend(t, 100)
			client := f.dial(database, true)
			f.runOnLoop(func() { f.frontend.memory.Change(3 * f.frontend.memory.Limit()) })
			query := pg.AppendQuery(nil, "/* id=1,c=x,d=100 */ SELECT 1")
			const part = 9 // bytes
			f.write(client, query[:part])
			f.waitUntil("the first part of the query has been read", func() bool { return f.onlySession().reader.Buffered() == part })
			f.runOnLoop(func() {
				if f.onlySession().state != sessionOpen {
					t.Error("the session ended before the request was complete")
				}
			})
			f.exchange(client, query[part:], 1)
			f.runOnLoop(func() { f.frontend.memory.Change(-3 * f.frontend.memory.Limit()) })
			f.exchange(client, pg.AppendQuery(nil, ""), 1)
		})
	}
}
