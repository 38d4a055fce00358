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

// Settings with rules of their own (PostgreSQL, src/backend/utils/misc/guc_tables.c and guc.c).
const (
	authorizationSetting = "session_authorization"
	roleSetting          = "role"
	noRole               = "none"
	// transactionPrefix is the prefix of the settings of the current transaction alone, which end with it.
	transactionPrefix = "transaction_"
)

// keptByResetAll are the settings that RESET ALL leaves as they are, of those that go beyond a transaction: PostgreSQL marks them GUC_NO_RESET_ALL.
var keptByResetAll = []string{authorizationSetting, roleSetting}

// resetAll returns the settings after RESET ALL, where base are the values that it resets to.
func (s Settings) resetAll(base Settings) Settings {
	var kept []pg.Setting
	for _, name := range keptByResetAll {
		if value, set := s.Get(name); set {
			kept = append(kept, pg.Setting{Name: name, Value: value})
		}
	}
	return base.with(base, kept...)
}

// effectOnSession returns what a SET or RESET of these settings changes beyond the current transaction. A new session authorization also ends
// the role that was set under the former one; with its default comes the default role.
func effectOnSession(settings []pg.Setting) []pg.Setting {
	var effect []pg.Setting
	for _, setting := range settings {
		if strings.HasPrefix(setting.Name, transactionPrefix) {
			continue
		}
		effect = append(effect, setting)
		if setting.Name != authorizationSetting {
			continue
		}
		role := pg.Setting{Name: roleSetting}
		if setting.Value != "" {
			role.Value = noRole
		}
		effect = append(effect, role)
	}
	return effect
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
		case name == authorizationSetting:
			authorization = sessionAuthorizationStatement(value)
		default:
			statements = append(statements, settingStatement(name, value))
		}
	})
	if authorization == "" {
		return statements
	}
	statements = append([]string{authorization}, statements...) // first, because it resets the role
	if role, set := desired.Get(roleSetting); set {
		return append(statements, "SET role TO "+role)
	}
	return append(statements, settingStatement(roleSetting, ""))
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
