package settings

import (
	"cmp"
	"fmt"

	"wayloft/router"
)

// Keywords of the platform's JSON.
var (
	platformEffects = map[string]router.Effect{
		"retryable": router.Idempotent,
		"dedup":     router.IdempotentWithKey,
		"fragile":   router.NonIdempotent,
	}
	platformScopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "cell": router.ScopeGroup}
	platformLags   = map[string]router.Lag{"silent": router.LagAnswers, "refuse": router.LagRefuses, "wait": router.LagWaits}
	listPolling    = map[string]bool{"push": false, "ask": true}           // discovery: whether the endpoint list is polled
	commitMemory   = map[string]bool{"carried": false, "remembered": true} // tokenMode: whether the router remembers commits
)

// Keywords of the TOML files.
var (
	fileEffects = map[string]router.Effect{
		"repeatable": router.Idempotent,
		"referenced": router.IdempotentWithKey,
		"once-only":  router.NonIdempotent,
	}
	fileScopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "group": router.ScopeGroup}
	fileLags   = map[string]router.Lag{"answers": router.LagAnswers, "refuses": router.LagRefuses, "waits": router.LagWaits}
)

// levels are the keywords for the consistency level of a request class, in JSON and TOML.
var levels = map[string]router.Level{
	"any":     router.Any,
	"bounded": router.Bounded,
	"session": router.Session,
	"fresh":   router.Fresh,
	"write":   router.Write,
}

// keyword translates the keyword given for a TOML key, or the default if none is given.
func keyword[T any](keywords map[string]T, key, given, defaultKeyword string) (T, error) {
	value, known := keywords[cmp.Or(given, defaultKeyword)]
	if !known {
		return value, fmt.Errorf("%s: unknown value %q", key, given)
	}
	return value, nil
}

// platformKeyword reads a field of the platform's JSON that holds one of these keywords.
func platformKeyword[T any](f *Fields, key string, keywords map[string]T) T {
	word := f.Text(key)
	value, known := keywords[word]
	if !known && f.Err == nil {
		f.Err = fmt.Errorf("%s: unknown value %q", key, word)
	}
	return value
}
