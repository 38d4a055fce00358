package server

import (
	"encoding/binary"
	"strings"
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// Guards against a notification that is dropped because the session that listens is idle when it comes, as such sessions are most of the time.
func TestPool_NotificationReachesIdleSession(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 2}, func(s *pgserver.Server) {
		s.AlterResponse = func(message *pg.Message, response, _ []byte) []byte {
			if !strings.HasPrefix(message.Text, "LISTEN ") {
				return response
			}
			return append(response, notification(7, strings.TrimPrefix(message.Text, "LISTEN "), "news")...)
		}
	})
	client := fakes.NewClient(t, addr, true)
	askAll(client, "SELECT 1") // what the member reports of its settings comes with it
	for _, channel := range []string{"a", "b"} {
		client.SendQuery("LISTEN " + channel)
		if got := client.ReadTypes(pg.NotificationResponse); got != "C Z A" {
			t.Errorf("LISTEN %s: got %q", channel, got)
		}
	}
	if got := askAll(client, "SELECT 1"); got != "1 ok ready" {
		t.Errorf("then %q", got)
	}
}

// notification returns an encoded NotificationResponse.
func notification(process uint32, channel, payload string) []byte {
	body := binary.BigEndian.AppendUint32(nil, process)
	body = append(body, channel+"\x00"+payload+"\x00"...)
	out := binary.BigEndian.AppendUint32([]byte{'A'}, uint32(len(body)+4))
	return append(out, body...)
}
