package duplicate

import "wayloft/internal/pg"

// distinctReplies has the kinds of client messages whose replies begin with a message that begins no reply to a message of another kind.
var distinctReplies = map[pg.Kind]bool{pg.Parse: true, pg.Bind: true, pg.Close: true, pg.Sync: true}

// Marker returns the kind of the message that must go ahead of what is sent next, so that the next response can't begin like the previous one:
// Close or Parse. needed is false if the two can't begin alike without it. previous and next are the kinds of the messages to which the
// server replies first.
func Marker(previous, next pg.Kind) (marker pg.Kind, needed bool) {
	if previous != next && (distinctReplies[previous] || distinctReplies[next]) {
		return 0, false
	}
	if previous == pg.Close {
		return pg.Parse, true
	}
	return pg.Close, true
}
