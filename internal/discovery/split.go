package discovery

// listSplitter splits a stream into lists and empty lines. A list may span several lines and is complete at its last closing bracket,
// whether or not the line ends there.
type listSplitter struct {
	text        []byte // the current list so far, without newlines
	size        int    // bytes consumed since the last list
	depth       int    // unclosed brackets
	inString    bool
	escaped     bool // the next byte follows a backslash in a string
	lineHasText bool // the line contains more than whitespace
}

// split consumes bytes up to the end of a list or an empty line. It returns the number of bytes consumed, and whether an item is
// complete. The text of a complete item is a list, invalid text that no further input could complete, or empty for an empty line.
//
// The state is kept in local variables and text is appended line by line, because accessing fields for each byte is many times slower.
func (s *listSplitter) split(input []byte) (consumed int, complete bool) {
	depth, inString, escaped, lineHasText := s.depth, s.inString, s.escaped, s.lineHasText
	appended, textIsEmpty := 0, len(s.text) == 0 // input before index appended is already in text
	n := 0
	for n < len(input) && !complete {
		b := input[n]
		n++
		if b == '\n' {
			// A string can't span lines, and empty lines occur only between lists. Otherwise the splitter would wait for the rest of an
			// invalid list.
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
