package pg

import "strings"

// stickyFunctions maps functions that create state on the connection to the reason for which the session must keep that connection.
var stickyFunctions = map[string]string{
	"set_config":                  "set_config",
	"setseed":                     "setseed",
	"pg_advisory_lock":            "an advisory lock",
	"pg_advisory_lock_shared":     "an advisory lock",
	"pg_try_advisory_lock":        "an advisory lock",
	"pg_try_advisory_lock_shared": "an advisory lock",
}

// sequenceFunctions are the functions that return what an earlier statement on the same connection drew from a sequence.
var sequenceFunctions = map[string]bool{"lastval": true, "currval": true}

// sequenceFunction returns the first of sequenceFunctions that a statement names, or an empty string.
func sequenceFunction(l lexer) string {
	if !mayNameSequenceFunction(l.sql) {
		return ""
	}
	for token := l.next(); token != ""; token = l.next() {
		if !isLetter(token[0]) && token[0] != '"' {
			continue
		}
		if name := identifier(token); sequenceFunctions[name] && l.peek() == "(" {
			return name
		}
	}
	return ""
}

// mayNameSequenceFunction reports whether a text contains what the names of sequenceFunctions end with, "rval" or "tval", in any case. It spares
// most statements a second pass.
func mayNameSequenceFunction(sql string) bool {
	const toLower = 0x20
	for n := 3; n < len(sql); n++ {
		if sql[n]|toLower != 'l' || sql[n-1]|toLower != 'a' || sql[n-2]|toLower != 'v' {
			continue
		}
		if before := sql[n-3] | toLower; before == 'r' || before == 't' {
			return true
		}
	}
	return false
}

// stickyReason returns why a session must keep its connection after the statement, or an empty string if it need not.
func stickyReason(l *lexer, firstWord string) string {
	switch firstWord {
	case "listen":
		return "LISTEN"
	case "load":
		return "LOAD"
	case "prepare":
		if strings.EqualFold(l.next(), "transaction") {
			return ""
		}
		return "PREPARE"
	case "create", "select", "with", "declare", "do", "call", "insert", "update", "delete", "execute", "explain", "values", "table",
		"merge", "copy", "fetch":
		return searchStickyReason(l, firstWord)
	}
	return ""
}

// searchStickyReason searches the rest of a statement for the names of stickyFunctions and for clauses that create state on the connection.
func searchStickyReason(l *lexer, firstWord string) string {
	previous := firstWord
	for token := l.next(); token != ""; token = l.next() {
		if !isLetter(token[0]) && token[0] != '"' {
			previous = ""
			continue
		}
		word := identifier(token)
		if reason := stickyFunctions[word]; reason != "" {
			return reason
		}
		if createsTemporaryTable(firstWord, previous, word) {
			return "a temporary table"
		}
		if firstWord == "declare" && previous == "with" && word == "hold" {
			return "a cursor WITH HOLD"
		}
		previous = word
	}
	return ""
}

// createsTemporaryTable reports whether word is the last one of CREATE [LOCAL | GLOBAL] TEMPORARY, CREATE OR REPLACE TEMPORARY or INTO
// TEMPORARY. TEMPORARY can be shortened to TEMP.
func createsTemporaryTable(firstWord, previous, word string) bool {
	if word != "temp" && word != "temporary" {
		return false
	}
	switch previous {
	case "into":
		return true
	case "create", "local", "global", "replace":
		return firstWord == "create"
	}
	return false
}
