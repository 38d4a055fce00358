package pg

import "strings"

// identifier normalizes an identifier token as PostgreSQL does: it removes quotes, or converts an unquoted identifier to lower case.
func identifier(token string) string {
	if len(token) >= 2 && token[0] == '"' {
		return strings.ReplaceAll(token[1:len(token)-1], `""`, `"`)
	}
	return strings.ToLower(token)
}

// Unquote returns the value of a setting without its single quotes, or in lower case if it is not quoted.
func Unquote(value string) string {
	if len(value) >= 2 && value[0] == '\'' && quotedLength(value, false) == len(value) {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return strings.ToLower(value)
}

// QuoteLiteral returns text as an SQL string literal, with the E prefix if it contains a backslash.
func QuoteLiteral(text string) string {
	literal := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if strings.IndexByte(text, '\\') < 0 {
		return literal
	}
	return " E" + strings.ReplaceAll(literal, `\`, `\\`)
}
