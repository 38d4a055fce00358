package lab

import (
	"fmt"

	"wayloft/internal/pg"
)

const (
	preparedName = "s1"
	selectByKey  = "SELECT blob FROM rows WHERE handle = $1"
)

// CommentedQuery returns a read with the platform's comment.
func CommentedQuery(client, n int) []byte {
	return pg.AppendQuery(nil, fmt.Sprintf("/* id=%d-%d,c=look,d=2000 */ SELECT blob FROM rows WHERE handle = 'h%d'", client, n, n%storedRows))
}

// PlainQuery returns the same read without a comment.
func PlainQuery(_, n int) []byte {
	return pg.AppendQuery(nil, fmt.Sprintf("SELECT blob FROM rows WHERE handle = 'h%d'", n%storedRows))
}

// TransactionQueries returns BEGIN, a write and COMMIT as one batch. The response has three ReadyForQuery messages.
func TransactionQueries(client, n int) []byte {
	messages := pg.AppendQuery(nil, "BEGIN")
	messages = pg.AppendQuery(messages, fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('c%d', '%d') RETURNING blob", client, n))
	return pg.AppendQuery(messages, "COMMIT")
}

// PreparedQuery returns a read in the extended protocol, as drivers send it. The client's first request also prepares the statement.
func PreparedQuery(_, n int) []byte {
	const noParameterTypes = "\x00\x00\x00"
	var messages []byte
	if n == 0 {
		messages = pg.AppendParse(messages, preparedName, []byte(selectByKey+noParameterTypes))
	}
	key := fmt.Sprintf("h%d", n%storedRows)
	bind := []byte{0, 0, 0, 1, 0, 0, 0, byte(len(key))} // default (text) parameter format, one parameter, its length
	bind = append(bind, key...)
	bind = append(bind, 0, 0) // default (text) result format
	messages = pg.AppendBind(messages, "", preparedName, bind)
	return pg.AppendSync(pg.AppendExecute(messages, ""))
}
