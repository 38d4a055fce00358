// Package pg encodes and decodes version 3 of PostgreSQL's wire protocol: simple and extended queries, COPY and cancel requests. It also
// splits queries into statements and recognizes those that change a session, as far as connection pooling needs it.
//
// A Reader takes bytes in any split and returns typed messages; functions named Append encode one message each. Frontend, backend and
// internal/decide/session use it. The package opens no socket, buffers no more than one incomplete message once those before it are read,
// and does not know what a statement is for.
package pg
