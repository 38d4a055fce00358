package session

import (
	"strings"

	"wayloft/internal/pg"
)

// StartupSettings returns the settings in a client's startup message: its parameters and the settings in its command-line options.
func StartupSettings(parameters pg.StartupParameters) (Settings, *pg.Error) {
	s := NoSettings
	for _, parameter := range parameters {
		name, value := strings.ToLower(parameter.Name), parameter.Value
		switch {
		case name == "user" || name == "database" || strings.HasPrefix(name, "_pq_."):
		case name == "replication":
			if requestsReplication(value) {
				return s, &pg.Error{Code: pg.FeatureNotSupported, Text: "replication does not go through a router"}
			}
		case name == "options":
			options, err := parseOptions(value)
			if err != nil {
				return s, err
			}
			for _, option := range options {
				s = s.withStartupValue(option.name, option.value)
			}
		default:
			s = s.withStartupValue(name, value)
		}
	}
	return s, nil
}

// withStartupValue returns the settings with a value from a startup message added. Such values are unquoted.
func (s Settings) withStartupValue(name, value string) Settings {
	if value == "" {
		return s
	}
	return s.with(NoSettings, pg.Setting{Name: strings.ToLower(name), Value: pg.QuoteLiteral(value)})
}

func requestsReplication(value string) bool {
	switch strings.ToLower(value) {
	case "", "false", "off", "no", "0":
		return false
	}
	return true
}

type option struct{ name, value string }

// parseOptions parses command-line options of the forms -c name=value, -cname=value and --name=value.
func parseOptions(text string) (options []option, err *pg.Error) {
	words := splitOptions(text)
	for n := 0; n < len(words); n++ {
		word := words[n]
		switch {
		case word == "-c" && n+1 < len(words):
			n++
			word = words[n]
		case strings.HasPrefix(word, "--"):
			word = strings.ReplaceAll(word[2:], "-", "_")
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return nil, &pg.Error{Code: pg.InvalidParameterValue, Text: "options: only -c name=value is taken, not " + word}
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, &pg.Error{Code: pg.InvalidParameterValue, Text: "options: " + word + " is no name=value"}
		}
		options = append(options, option{name, value})
	}
	return options, nil
}

// splitOptions splits command-line options at spaces and tabs. A backslash escapes the next character.
func splitOptions(text string) (words []string) {
	var word strings.Builder
	for n := 0; n <= len(text); n++ {
		switch {
		case n == len(text) || text[n] == ' ' || text[n] == '\t':
			if word.Len() > 0 {
				words = append(words, word.String())
				word.Reset()
			}
		case text[n] == '\\' && n+1 < len(text):
			n++
			word.WriteByte(text[n])
		default:
			word.WriteByte(text[n])
		}
	}
	return words
}
