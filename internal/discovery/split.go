package discovery

// listSplitter splits a stream into lists and empty lines. A list is complete with its last bracket, whether or not its line ends
// there, and may take several lines.
type listSplitter struct {
	text        []byte // of the list so far, without its line ends
	size        int    // bytes consumed since the last list
	depth       int    // open brackets
	inString    bool
	escaped     bool // the next byte follows a backslash in a string
	lineHasText bool // the line has more than blanks
}

// split consumes bytes up to the end of a list or an empty line. It returns how many it has consumed, and whether something is complete:
// then text is a list, or what can't become one any more, or empty for an empty line.
//
// The state is kept in local variables and text is appended line by line, since a field access for each byte costs many times as much.
func (s *listSplitter) split(input []byte) (consumed int, complete bool) {
	depth, inString, escaped, lineHasText := s.depth, s.inString, s.escaped, s.lineHasText
	appended, textIsEmpty := 0, len(s.text) == 0 // input up to appended is in text
	n := 0
	for n < len(input) && !complete {
		b := input[n]
		n++
		if b == '\n' {
			// A string ends within its line, and an empty line comes only between lists: otherwise the rest of an invalid list
			// would be waited for.
			complete = depth <= 0 || inString || !lineHasText
			s.text = append(s.text, input[appended:n-1]...)
			appended, lineHasText = n, false
			continue
		}
		if inString || !isBlank(b) {
			lineHasText, textIsEmpty = true, false
		} else if textIsEmpty {
			appended = n
			continue
		}
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
			complete = depth <= 0
		}
	}
	s.text = append(s.text, input[appended:n]...)
	s.size += n
	s.depth, s.inString, s.escaped, s.lineHasText = depth, inString, escaped, lineHasText
	return n, complete
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' || b == '\r' }
