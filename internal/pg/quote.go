package pg

import "strings"

// identifier returns a token as a server compares names.
func identifier(token string) string {
	if len(token) >= 2 && token[0] == '"' {
		return strings.ReplaceAll(token[1:len(token)-1], `""`, `"`)
	}
	return strings.ToLower(token)
}

// Unquote returns the value of a setting without its quotes, in lower case if it has none.
func Unquote(value string) string {
	if len(value) >= 2 && value[0] == '\'' && quotedLength(value, false) == len(value) {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return strings.ToLower(value)
}

// QuoteLiteral returns a text as a string literal.
func QuoteLiteral(text string) string {
	literal := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if strings.IndexByte(text, '\\') < 0 {
		return literal
	}
	return " E" + strings.ReplaceAll(literal, `\`, `\\`)
}
