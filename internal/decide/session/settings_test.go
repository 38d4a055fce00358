package session

import (
	"strings"
	"testing"

	"wayloft/internal/pg"
)

// TestSettings_EqualHaveSameID checks that equal settings have the same ID no matter in which order they were set.
func TestSettings_EqualHaveSameID(t *testing.T) {
	a := settingsOf("x=1 y=2")
	b := settingsOf("y=3").with(NoSettings, pg.Setting{Name: "x", Value: "1"}, pg.Setting{Name: "y", Value: "2"})
	none := a.with(NoSettings, pg.Setting{Name: "x", Value: ""}, pg.Setting{Name: "y", Value: ""})
	if a.ID() != b.ID() || none.ID() != NoSettings.ID() {
		t.Error("equal settings have different IDs")
	}
}

// TestSettingsStatements checks that only settings that differ are set.
func TestSettingsStatements(t *testing.T) {
	current := settingsOf("x=1 y=2")
	desired := settingsOf("session_authorization=bob role=r wayloft.txn_type=t timezone='UTC' x=1")
	got := strings.Join(settingsStatements(current, desired), "; ")
	want := `SET SESSION AUTHORIZATION bob; SET "role" TO r; SET TIME ZONE 'UTC'; RESET "y"; SET role TO r`
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestStartupSettings(t *testing.T) {
	for _, c := range []struct{ name, value, want string }{
		{"application_name", "it's", "application_name='it''s'"},
		{"options", "-c a.x=1 -ca.y=2 --a-z=3", "a.x='1' a.y='2' a_z='3'"},
		{"options", `-c a.x=two\ words`, "a.x='two words'"},
		{"options", "-x 1", "22023"},
		{"options", "-c nothing", "22023"},
		{"replication", "true", "0A000"},
		{"replication", "off", ""},
		{"TimeZone", "UTC", "timezone='UTC'"},
	} {
		settings, startupError := StartupSettings(pg.StartupParameters{{Name: "user", Value: "u"}, {Name: c.name, Value: c.value}})
		got := describeSettings(settings)
		if startupError != nil {
			got = startupError.Code
		}
		if got != c.want {
			t.Errorf("%s=%s: got %s, want %s", c.name, c.value, got, c.want)
		}
	}
}

func BenchmarkStatement(b *testing.B) {
	const sql = "SELECT blob FROM rows WHERE handle = 'h1'"
	s := New(Policy{WriteClass: "w", MaxSettingsBytes: 1000, MaxStatements: 9}, NoSettings)
	raw := pg.AppendQuery(nil, sql)
	b.ReportAllocs()
	for range b.N {
		s.Query(sql, raw, false)
		s.ServerMessage(&pg.Message{Kind: pg.CommandComplete, Text: "SELECT 1"})
		s.ServerMessage(&pg.Message{Kind: pg.ReadyForQuery, Status: StatusIdle})
	}
}

func BenchmarkDifference(b *testing.B) {
	current := settingsOf("a=1 b=2 c=3 d=4")
	for name, desired := range map[string]Settings{"equal": current, "one": current.with(NoSettings, pg.Setting{Name: "b", Value: "9"})} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				settingsStatements(current, desired)
			}
		})
	}
}
