package session

import (
	"strings"
	"unique"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/pg"
)

// Settings are what a session, or a connection, has set: name to value, as it was written. They are never changed,
// only replaced, so whoever has some may keep them; equal ones have the same ID.
type Settings struct {
	tree *iradix.Tree[string]
	id   unique.Handle[string]
	size int
}

// ID compares by pointer.
func (s Settings) ID() any { return s.id }

// NoSettings are the settings of a connection that has set nothing.
var NoSettings = identify(iradix.New[string]())

func identify(t *iradix.Tree[string]) Settings {
	var b strings.Builder
	t.Root().Walk(func(k []byte, v string) bool {
		b.Write(k)
		b.WriteByte(0)
		b.WriteString(v)
		b.WriteByte(0)
		return false
	})
	return Settings{t, unique.Make(b.String()), b.Len()}
}

// Get finds a value.
func (s Settings) Get(name string) (string, bool) { return s.tree.Get([]byte(name)) }

// with sets values; one that is empty goes back to what base has.
func (s Settings) with(base Settings, pairs ...[2]string) Settings {
	t := s.tree
	for _, p := range pairs {
		if p[1] == "" {
			p[1], _ = base.Get(p[0])
		}
		if p[1] == "" {
			t, _, _ = t.Delete([]byte(p[0]))
		} else {
			t, _, _ = t.Insert([]byte(p[0]), p[1])
		}
	}
	if t == s.tree {
		return s
	}
	return identify(t)
}

// IsRouterSetting tells whether a setting is the router's, and never goes to a member.
func IsRouterSetting(name string) bool { return strings.HasPrefix(name, "wayloft.") }

// SettingsStatements returns the statements that bring the settings of the session's connection to the session's own.
func (s *Session) SettingsStatements() []string {
	if s.policy.SeededDefects.SkipSettings {
		return nil
	}
	return settingsStatements(s.there, s.now)
}

// settingsStatements returns the statements that bring a connection from what it has to what it should have: only what
// differs is set.
func settingsStatements(has, should Settings) []string {
	if has.id == should.id {
		return nil
	}
	var out []string
	authorized := false
	add := func(name, value string) {
		switch {
		case IsRouterSetting(name):
		case name == "session_authorization":
			authorized = true
			if value == "" {
				value = "DEFAULT"
			}
			out = append([]string{"SET SESSION AUTHORIZATION " + value}, out...) // first: it resets the role
		case value == "":
			out = append(out, "RESET "+quote(name))
		case name == "timezone":
			out = append(out, "SET TIME ZONE "+value)
		default:
			out = append(out, "SET "+quote(name)+" TO "+value)
		}
	}
	a, b := has.tree.Root().Iterator(), should.tree.Root().Iterator()
	ak, av, aok := a.Next()
	bk, bv, bok := b.Next()
	for aok || bok {
		switch c := strings.Compare(string(ak), string(bk)); {
		case !bok || aok && c < 0:
			add(string(ak), "")
			ak, av, aok = a.Next()
		case !aok || c > 0:
			add(string(bk), bv)
			bk, bv, bok = b.Next()
		default:
			if av != bv {
				add(string(bk), bv)
			}
			ak, av, aok = a.Next()
			bk, bv, bok = b.Next()
		}
	}
	if role, set := should.Get("role"); authorized && set {
		out = append(out, "SET role TO "+role)
	}
	return out
}

// quote writes a name of parts as SQL has it.
func quote(name string) string {
	parts := strings.Split(name, ".")
	for n, p := range parts {
		parts[n] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

// StartupSettings reads what a client sets as it connects: parameters, and options of the form -c name=value.
func StartupSettings(params pg.StartupParameters) (Settings, *pg.Error) {
	s := NoSettings
	set := func(name, value string) {
		if value != "" {
			s = s.with(NoSettings, [2]string{strings.ToLower(name), pg.QuoteLiteral(value)})
		}
	}
	for _, p := range params {
		switch name := strings.ToLower(p[0]); {
		case name == "user" || name == "database" || strings.HasPrefix(name, "_pq_."):
		case name == "replication":
			if on := strings.ToLower(p[1]); on != "" && on != "false" && on != "off" && on != "no" && on != "0" {
				return s, &pg.Error{Code: pg.FeatureNotSupported, Text: "replication does not go through a router"}
			}
		case name == "options":
			words := optionWords(p[1])
			for n := 0; n < len(words); n++ {
				word := words[n]
				switch {
				case word == "-c" && n+1 < len(words):
					n++
					word = words[n]
				case strings.HasPrefix(word, "--"):
					word = strings.ReplaceAll(word[2:], "-", "_")
				case strings.HasPrefix(word, "-c"):
					word = word[2:]
				default:
					return s, &pg.Error{Code: pg.InvalidParameterValue, Text: "options: only -c name=value is taken, not " + word}
				}
				key, value, ok := strings.Cut(word, "=")
				if !ok {
					return s, &pg.Error{Code: pg.InvalidParameterValue, Text: "options: " + word + " is no name=value"}
				}
				set(key, value)
			}
		default:
			set(name, p[1])
		}
	}
	return s, nil
}

// optionWords splits at blanks that no backslash guards.
func optionWords(s string) []string {
	var out []string
	var word strings.Builder
	for n := 0; n <= len(s); n++ {
		switch {
		case n == len(s) || s[n] == ' ' || s[n] == '\t':
			if word.Len() > 0 {
				out = append(out, word.String())
				word.Reset()
			}
		case s[n] == '\\' && n+1 < len(s):
			n++
			word.WriteByte(s[n])
		default:
			word.WriteByte(s[n])
		}
	}
	return out
}
