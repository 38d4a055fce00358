// Package pg encodes and decodes version 3 of PostgreSQL's wire protocol: simple and extended queries, COPY and cancel requests. It also
// splits queries into statements and recognizes those that change session state, to the extent that connection pooling requires.
//
// A Reader accepts a byte stream in chunks of any size and returns typed messages. Functions named Append* encode messages. The packages
// frontend, backend and internal/decide/session use both. The package opens no sockets, and it makes no decision about how a statement is
// handled. Once the complete messages have been read, a Reader buffers at most one incomplete message.
package pg
