package session

import (
	"strings"
	"unique"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/pg"
)

// Settings are the settings of a client session or a server connection, with lower-case names and values as written in the statement.
// They are immutable and can be shared.
type Settings struct {
	tree *iradix.Tree[string]
	id   unique.Handle[string] // equal for equal settings
	size int                   // size in bytes of names and values, each with a terminator
}

// NoSettings are the settings of a connection on which nothing has been set.
var NoSettings = newSettings(iradix.New[string]())

func newSettings(tree *iradix.Tree[string]) Settings {
	var encoded strings.Builder
	tree.Root().Walk(func(name []byte, value string) bool {
		encoded.Write(name)
		encoded.WriteByte(0)
		encoded.WriteString(value)
		encoded.WriteByte(0)
		return false
	})
	return Settings{tree: tree, id: unique.Make(encoded.String()), size: encoded.Len()}
}

// ID returns a comparable value that is equal for equal settings.
func (s Settings) ID() any { return s.id }

// Get returns the value of a setting, and whether it is set.
func (s Settings) Get(name string) (value string, set bool) { return s.tree.Get([]byte(name)) }

// with returns a copy of the settings with the given ones set. An empty value stands for the value in base; if base has none, the
// setting is removed.
func (s Settings) with(base Settings, settings ...pg.Setting) Settings {
	tree := s.tree
	for _, setting := range settings {
		name, value := setting.Name, setting.Value
		if value == "" {
			value, _ = base.Get(name)
		}
		if value == "" {
			tree, _, _ = tree.Delete([]byte(name))
		} else {
			tree, _, _ = tree.Insert([]byte(name), value)
		}
	}
	if tree == s.tree {
		return s
	}
	return newSettings(tree)
}

// isRouterSetting reports whether a setting is one of the router's own, which are never sent to a member.
func isRouterSetting(name string) bool { return strings.HasPrefix(name, routerSettingPrefix) }

// settingsStatements returns the statements that change a connection's settings from current to desired. Settings that are equal in
// both are not set again.
func settingsStatements(current, desired Settings) []string {
	var statements []string
	authorization := ""
	forEachDifference(current, desired, func(name, value string) {
		switch {
		case isRouterSetting(name):
		case name == "session_authorization":
			authorization = sessionAuthorizationStatement(value)
		default:
			statements = append(statements, settingStatement(name, value))
		}
	})
	if authorization == "" {
		return statements
	}
	statements = append([]string{authorization}, statements...) // first, because it resets the role
	if role, set := desired.Get("role"); set {
		statements = append(statements, "SET role TO "+role)
	}
	return statements
}

// forEachDifference calls f for each setting that differs, in name order, with the desired value, which is "" if the setting is to be
// removed.
func forEachDifference(current, desired Settings, f func(name, value string)) {
	if current.id == desired.id {
		return
	}
	currentIterator, desiredIterator := current.tree.Root().Iterator(), desired.tree.Root().Iterator()
	currentName, currentValue, currentMore := currentIterator.Next()
	desiredName, desiredValue, desiredMore := desiredIterator.Next()
	for currentMore || desiredMore {
		order := strings.Compare(string(currentName), string(desiredName))
		switch {
		case !desiredMore || currentMore && order < 0:
			f(string(currentName), "")
			currentName, currentValue, currentMore = currentIterator.Next()
		case !currentMore || order > 0:
			f(string(desiredName), desiredValue)
			desiredName, desiredValue, desiredMore = desiredIterator.Next()
		default:
			if currentValue != desiredValue {
				f(string(desiredName), desiredValue)
			}
			currentName, currentValue, currentMore = currentIterator.Next()
			desiredName, desiredValue, desiredMore = desiredIterator.Next()
		}
	}
}

func sessionAuthorizationStatement(value string) string {
	if value == "" {
		value = "DEFAULT"
	}
	return "SET SESSION AUTHORIZATION " + value
}

func settingStatement(name, value string) string {
	switch {
	case value == "":
		return "RESET " + quoteName(name)
	case name == "timezone": // the value may be an interval, which SET ... TO does not accept
		return "SET TIME ZONE " + value
	default:
		return "SET " + quoteName(name) + " TO " + value
	}
}

// quoteName quotes each part of a dotted name as an SQL identifier.
func quoteName(name string) string {
	parts := strings.Split(name, ".")
	for n, part := range parts {
		parts[n] = `"` + strings.ReplaceAll(part, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}
