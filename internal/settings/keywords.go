package settings

import (
	"cmp"
	"fmt"

	"wayloft/router"
)

// Keywords of the platform's JSON.
var (
	platformEffects = map[string]router.RetryEffect{
		"retryable": router.Idempotent,
		"dedup":     router.IdempotentWithKey,
		"fragile":   router.NonIdempotent,
	}
	platformScopes = map[string]router.IdempotencyScope{"all": router.ScopeAll, "zone": router.ScopeZone, "cell": router.ScopeGroup}
	platformLags   = map[string]router.LagBehavior{"silent": router.LagServes, "refuse": router.LagRejects, "wait": router.LagWaits}
	listPolling    = map[string]bool{"push": false, "ask": true}           // discovery: whether the endpoint list is polled
	commitMemory   = map[string]bool{"carried": false, "remembered": true} // tokenMode: whether the router remembers commits
)

// Keywords of the TOML files.
var (
	fileEffects = map[string]router.RetryEffect{
		"repeatable": router.Idempotent,
		"referenced": router.IdempotentWithKey,
		"once-only":  router.NonIdempotent,
	}
	fileScopes = map[string]router.IdempotencyScope{"all": router.ScopeAll, "zone": router.ScopeZone, "group": router.ScopeGroup}
	fileLags   = map[string]router.LagBehavior{"answers": router.LagServes, "refuses": router.LagRejects, "waits": router.LagWaits}
)

// levels are the keywords for the consistency level of a request class, in JSON and TOML.
var levels = map[string]router.ConsistencyLevel{
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
