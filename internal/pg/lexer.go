package pg

import "strings"

// lexer splits SQL into tokens: words, quoted identifiers, string literals, parameters, numbers and single characters. It skips whitespace
// and comments.
type lexer struct {
	sql    string
	offset int
}

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWhitespace(c byte) bool { return strings.IndexByte(" \t\r\n\f\v", c) >= 0 }

// next returns the next token, or an empty string at the end of the input.
func (l *lexer) next() string {
	l.skipWhitespaceAndComments()
	if l.offset >= len(l.sql) {
		return ""
	}
	rest := l.sql[l.offset:]
	token := rest[:tokenLength(rest)]
	l.offset += len(token)
	return token
}

// keyword returns the next token in lower case.
func (l *lexer) keyword() string { return strings.ToLower(l.next()) }

// peek returns the next token without consuming it.
func (l *lexer) peek() string {
	start := l.offset
	token := l.next()
	l.offset = start
	return token
}

func (l *lexer) skipWhitespaceAndComments() {
	for l.offset < len(l.sql) {
		rest := l.sql[l.offset:]
		switch {
		case isWhitespace(rest[0]):
			l.offset++
		case strings.HasPrefix(rest, "--"):
			l.offset += lineCommentLength(rest)
		case strings.HasPrefix(rest, "/*"):
			l.offset += blockCommentLength(rest)
		default:
			return
		}
	}
}

func lineCommentLength(s string) int {
	if end := strings.IndexAny(s, "\r\n"); end >= 0 {
		return end
	}
	return len(s)
}

// blockCommentLength returns the length of the block comment at the start of s. Block comments can be nested. An unterminated comment
// extends to the end of s.
func blockCommentLength(s string) int {
	depth, n := 1, 2
	for ; depth > 0 && n < len(s); n++ {
		switch {
		case strings.HasPrefix(s[n:], "/*"):
			depth++
			n++
		case strings.HasPrefix(s[n:], "*/"):
			depth--
			n++
		}
	}
	return n
}

// tokenLength returns the length of the token at the start of s, which is not empty.
func tokenLength(s string) int {
	c := s[0]
	switch {
	case c == '\'' || c == '"':
		return quotedLength(s, false)
	case c == '$':
		return dollarTokenLength(s)
	case isDigit(c):
		return numberLength(s)
	case !isLetter(c):
		return 1
	}
	if length := prefixedStringLength(s); length > 0 {
		return length
	}
	return wordLength(s)
}

// quotedLength returns the length of the quoted token at the start of s, whose quote character is s[0]. An unterminated token extends to
// the end of s.
func quotedLength(s string, backslashEscapes bool) int {
	quote := s[0]
	for n := 1; n < len(s); n++ {
		switch {
		case backslashEscapes && s[n] == '\\':
			n++
		case s[n] == quote && n+1 < len(s) && s[n+1] == quote:
			n++
		case s[n] == quote:
			return n + 1
		}
	}
	return len(s)
}

// prefixedStringLength returns the length of a quoted token with a prefix, such as E'...', B'...' or U&"...", at the start of s, or 0 if
// there is none.
func prefixedStringLength(s string) int {
	if len(s) < 2 {
		return 0
	}
	switch s[0] {
	case 'e', 'E':
		if s[1] == '\'' {
			return 1 + quotedLength(s[1:], true)
		}
	case 'b', 'B', 'x', 'X', 'n', 'N':
		if s[1] == '\'' {
			return 1 + quotedLength(s[1:], false)
		}
	case 'u', 'U':
		if len(s) > 2 && s[1] == '&' && (s[2] == '\'' || s[2] == '"') {
			return 2 + quotedLength(s[2:], false)
		}
	}
	return 0
}

// dollarTokenLength returns the length of the dollar-quoted string, or of the parameter such as $1, at the start of s. An unterminated
// string extends to the end of s.
func dollarTokenLength(s string) int {
	n := 1
	for n < len(s) && (isLetter(s[n]) || n > 1 && isDigit(s[n])) {
		n++
	}
	if n >= len(s) || s[n] != '$' {
		return parameterLength(s)
	}
	tag := s[:n+1]
	end := strings.Index(s[len(tag):], tag)
	if end < 0 {
		return len(s)
	}
	return len(tag) + end + len(tag)
}

func parameterLength(s string) int {
	n := 1
	for n < len(s) && isDigit(s[n]) {
		n++
	}
	return n
}

func numberLength(s string) int {
	n := 1
	for n < len(s) && (isDigit(s[n]) || s[n] == '.') {
		n++
	}
	return n
}

func wordLength(s string) int {
	n := 1
	for n < len(s) && (isLetter(s[n]) || isDigit(s[n]) || s[n] == '$') {
		n++
	}
	return n
}
