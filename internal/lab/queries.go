package lab

import (
	"fmt"

	"wayloft/internal/pg"
)

const (
	preparedName = "s1"
	selectByKey  = "SELECT blob FROM rows WHERE handle = $1"
)

// StatementQuery is a read with the platform's comment.
func StatementQuery(client, n int) []byte {
	return pg.AppendQuery(nil, fmt.Sprintf("/* id=%d-%d,c=look,d=2000 */ SELECT blob FROM rows WHERE handle = 'h%d'", client, n, n%storedRows))
}

// PlainQuery is the same read without a comment.
func PlainQuery(_, n int) []byte {
	return pg.AppendQuery(nil, fmt.Sprintf("SELECT blob FROM rows WHERE handle = 'h%d'", n%storedRows))
}

// TransactionQueries are BEGIN, a write and COMMIT, sent together; the response has three ReadyForQuery.
func TransactionQueries(client, n int) []byte {
	messages := pg.AppendQuery(nil, "BEGIN")
	messages = pg.AppendQuery(messages, fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('c%d', '%d') RETURNING blob", client, n))
	return pg.AppendQuery(messages, "COMMIT")
}

// PreparedQuery is a read by the extended protocol, as drivers send it: the client's first request prepares the statement, all execute it.
func PreparedQuery(_, n int) []byte {
	const noParameterTypes = "\x00\x00\x00"
	var messages []byte
	if n == 0 {
		messages = pg.AppendParse(messages, preparedName, []byte(selectByKey+noParameterTypes))
	}
	key := fmt.Sprintf("h%d", n%storedRows)
	bind := []byte{0, 0, 0, 1, 0, 0, 0, byte(len(key))} // text formats, one parameter, its length
	bind = append(bind, key...)
	bind = append(bind, 0, 0) // results as text
	messages = pg.AppendBind(messages, "", preparedName, bind)
	return pg.AppendSync(pg.AppendExecute(messages, ""))
}
