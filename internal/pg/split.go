package pg

import "strings"

// SplitStatements splits a query string at semicolons and returns its statements, except empty ones.
func SplitStatements(sql string) []string {
	if strings.IndexByte(sql, ';') < 0 {
		return singleStatement(sql)
	}
	var statements []string
	l := lexer{sql: sql}
	start, isEmpty := 0, true
	for {
		token := l.next()
		if token != ";" && token != "" {
			isEmpty = false
			continue
		}
		if !isEmpty {
			statements = append(statements, sql[start:l.offset-len(token)])
		}
		if token == "" {
			return statements
		}
		start, isEmpty = l.offset, true
	}
}

func singleStatement(sql string) []string {
	l := lexer{sql: sql}
	if l.skipWhitespaceAndComments(); l.offset >= len(sql) {
		return nil
	}
	return []string{sql}
}
