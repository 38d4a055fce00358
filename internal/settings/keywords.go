package settings

import (
	"cmp"
	"fmt"

	"wayloft/router"
)

// Words of the platform's form.
var (
	platformEffects = map[string]router.Effect{
		"retryable": router.Idempotent,
		"dedup":     router.IdempotentWithKey,
		"fragile":   router.NonIdempotent,
	}
	platformScopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "cell": router.ScopeGroup}
	platformLags   = map[string]router.Lag{"silent": router.LagAnswers, "refuse": router.LagRefuses, "wait": router.LagWaits}
	listPolling    = map[string]bool{"push": false, "ask": true}           // discovery: the list is polled
	commitMemory   = map[string]bool{"carried": false, "remembered": true} // tokenMode: the router remembers commits
)

// Words of the TOML forms.
var (
	fileEffects = map[string]router.Effect{
		"repeatable": router.Idempotent,
		"referenced": router.IdempotentWithKey,
		"once-only":  router.NonIdempotent,
	}
	fileScopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "group": router.ScopeGroup}
	fileLags   = map[string]router.Lag{"answers": router.LagAnswers, "refuses": router.LagRefuses, "waits": router.LagWaits}
)

// levels are the words for the consistency of a request class, in all forms.
var levels = map[string]router.Level{
	"any":     router.Any,
	"bounded": router.Bounded,
	"session": router.Session,
	"fresh":   router.Fresh,
	"write":   router.Write,
}

// keyword translates the word of a TOML key, or the default if none is given.
func keyword[T any](words map[string]T, key, given, otherwise string) (T, error) {
	value, known := words[cmp.Or(given, otherwise)]
	if !known {
		return value, fmt.Errorf("%s: unknown value %q", key, given)
	}
	return value, nil
}

// platformKeyword reads a field of the platform's form that holds one of these words.
func platformKeyword[T any](f *Fields, key string, words map[string]T) T {
	word := f.Text(key)
	value, known := words[word]
	if !known && f.Err == nil {
		f.Err = fmt.Errorf("%s: unknown value %q", key, word)
	}
	return value
}
