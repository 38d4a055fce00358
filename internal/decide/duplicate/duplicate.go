// Package duplicate recognizes a second copy of a response that a server sends right behind the response, before its next one. It keeps
// a digest of the last response, none of its bytes.
//
// The package does no I/O and reads no clock. It can't tell a copy from a next response that begins with the same message: the caller
// makes sure, by what it sends to the server, that the next response begins with another one.
package duplicate

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Verdict is what a message received between two responses is.
type Verdict int

// The verdicts.
const (
	Other    Verdict = iota // not the beginning of a copy
	Copy                    // part of a copy, to be discarded
	Mismatch                // the messages began as a copy and went on as something else
)

// Detector recognizes a copy of the last response on one connection. The zero value has recorded no response. A Detector is not safe for
// concurrent use.
type Detector struct {
	current response // being received
	last    response // the last complete response
	copied  response // the messages of a copy received so far
}

// response is the digest of a sequence of encoded messages.
type response struct {
	messages int
	first    uint64 // digest of the first message
	digest   uint64 // of all messages, in order
}

func (r *response) add(message []byte) {
	hash := xxhash.Sum64(message)
	if r.messages == 0 {
		r.first = hash
	}
	r.messages++
	r.digest = bits.RotateLeft64(r.digest, 1) ^ hash
}

// Record adds an encoded message to the response that is being received.
func (d *Detector) Record(message []byte) { d.current.add(message) }

// Complete records that the response being received is complete. It does nothing if no message of it was recorded.
func (d *Detector) Complete() {
	if d.current.messages > 0 {
		d.last, d.current = d.current, response{}
	}
}

// Copying reports whether a part of a copy has been received.
func (d *Detector) Copying() bool { return d.copied.messages > 0 }

// Skip judges an encoded message that does not belong to the next response.
func (d *Detector) Skip(message []byte) Verdict {
	if !d.Copying() && (d.last.messages == 0 || d.last.first != xxhash.Sum64(message)) {
		return Other
	}
	d.copied.add(message)
	if d.copied.messages < d.last.messages {
		return Copy
	}
	same := d.copied == d.last
	d.copied = response{}
	if !same {
		return Mismatch
	}
	return Copy
}
