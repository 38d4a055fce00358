package fleet

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// action executes a parsed step.
type action func(*runner) error

// step is a parsed step of a scenario.
type step struct {
	text      string
	variables []string // variables that must be set before the step runs
	action    action
}

// errNoVerb means that a step is empty.
var errNoVerb = errors.New("a step needs a verb")

// parser parses the steps of a scenario, in order.
type parser struct {
	processes map[string]bool // processes that exist when the step runs
	variables map[string]bool // variables that earlier steps may set
}

// newParser returns a parser that knows the processes of the scenario's fleet.
func newParser(s *Scenario) *parser {
	p := &parser{processes: map[string]bool{}, variables: map[string]bool{}}
	for prefix, count := range map[string]int{"c": s.Coordinators, "r": s.Routers, "m": s.Members} {
		for n := range count {
			p.processes[fmt.Sprint(prefix, n+1)] = true
		}
	}
	return p
}

// parseSteps parses all steps of a scenario. Its error joins a StepError for each invalid step.
func parseSteps(s *Scenario) ([]step, error) {
	p := newParser(s)
	var steps []step
	var failures error
	for n, text := range s.Steps {
		parsed, err := p.parse(text)
		if err != nil {
			failures = errors.Join(failures, &StepError{Scenario: s.name, Number: n + 1, Step: text, Err: err})
		}
		steps = append(steps, parsed)
	}
	return steps, failures
}

// parse parses one step.
func (p *parser) parse(text string) (step, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return step{}, errNoVerb
	}
	parse := verbs[words[0]]
	if parse == nil {
		return step{}, fmt.Errorf("no such verb: %s", words[0])
	}
	arguments := &arguments{parser: p, words: words[1:]}
	parsed := step{text: text, action: parse(arguments)}
	if arguments.err == nil && len(arguments.words) > 0 {
		arguments.fail(fmt.Errorf("unexpected: %s", strings.Join(arguments.words, " ")))
	}
	for _, name := range arguments.sets {
		p.variables[name] = true
	}
	parsed.variables = arguments.uses
	return parsed, arguments.err
}

// arguments holds the arguments of a step that are not parsed yet. Its methods consume them from the front; after the first error, they return
// zero values.
type arguments struct {
	parser *parser
	words  []string
	uses   []string // variables that the step reads
	sets   []string // variables that the step sets
	err    error    // the first error
}

func (a *arguments) fail(err error) {
	if a.err == nil {
		a.err = err
	}
	a.words = nil
}

// next consumes an argument; what describes it in errors.
func (a *arguments) next(what string) string {
	if len(a.words) == 0 {
		a.fail(fmt.Errorf("%s is missing", what))
		return ""
	}
	first := a.words[0]
	a.words = a.words[1:]
	return first
}

// accept consumes the next argument if it is this word, and reports whether it did.
func (a *arguments) accept(word string) bool {
	if len(a.words) == 0 || a.words[0] != word {
		return false
	}
	a.words = a.words[1:]
	return true
}

// oneOf consumes an argument that must be one of these words.
func (a *arguments) oneOf(choices ...string) string {
	word := a.next(strings.Join(choices, " or "))
	for _, choice := range choices {
		if word == choice {
			return word
		}
	}
	if a.err == nil {
		a.fail(fmt.Errorf("%s is not %s", word, strings.Join(choices, " or ")))
	}
	return ""
}

// number consumes a non-negative number.
func (a *arguments) number(what string) int {
	word := a.next(what)
	if a.err != nil {
		return 0
	}
	number, err := strconv.Atoi(word)
	if err != nil || number < 0 {
		a.fail(fmt.Errorf("%s: %q is not a number", what, word))
	}
	return number
}

// name consumes a plain word, such as the name of a lease, an event, a failpoint or a policy.
func (a *arguments) name(what string) string {
	word := a.next(what)
	if strings.ContainsAny(word, "${}=") {
		a.fail(fmt.Errorf("%s: %q is not a name", what, word))
	}
	return strings.ReplaceAll(word, "~", " ")
}

// value consumes an argument that may be a variable or a reference in braces.
func (a *arguments) value(what string) value { return a.parseValue(a.next(what)) }

// remaining consumes all remaining arguments.
func (a *arguments) remaining() (values []value) {
	for len(a.words) > 0 {
		values = append(values, a.value(""))
	}
	return values
}

// process consumes the name of a process or a variable.
func (a *arguments) process() value {
	process := a.value("a process")
	a.checkProcess(process)
	return process
}

// checkProcess fails if there is no such process. The value of a variable is checked when the step runs.
func (a *arguments) checkProcess(process value) {
	if a.err == nil && process.variable == "" && !a.parser.processes[process.literal] {
		a.fail(&noProcessError{name: process.literal})
	}
}

// fields consumes all remaining arguments, which must have the form FIELD=TEXT.
func (a *arguments) fields() (fields []field) {
	for len(a.words) > 0 {
		word := a.next("")
		key, text, found := strings.Cut(word, "=")
		if !found {
			a.fail(fmt.Errorf("%q is not FIELD=TEXT", word))
			return nil
		}
		fields = append(fields, field{key: key, text: a.parseValue(text)})
	}
	return fields
}

// field is an argument of the form FIELD=TEXT.
type field struct {
	key  string
	text value
}

// binding is "as V [not W]": the variable to set and a value that it must not get.
type binding struct {
	variable string
	not      *value // nil: any value
}

func (a *arguments) binding() binding {
	if !a.accept("as") {
		a.fail(errors.New("as V is missing"))
		return binding{}
	}
	bound := binding{variable: a.name("a variable")}
	if a.accept("not") {
		not := a.value("a value")
		bound.not = &not
	}
	a.sets = append(a.sets, bound.variable)
	return bound
}

// noProcessError means that a step names a process that doesn't exist.
type noProcessError struct{ name string }

func (e *noProcessError) Error() string { return "no such process: " + e.name }

// value is an argument: a literal, a variable, or a reference to a path or an address of the fleet.
type value struct {
	literal  string
	variable string                // without the $; empty if the argument is not a variable
	resolve  func(f *Fleet) string // nil if the argument is not a reference
}

// text returns the text that the argument stands for.
func (v value) text(r *runner) string {
	switch {
	case v.variable != "":
		return r.variables[v.variable]
	case v.resolve != nil:
		return v.resolve(r.fleet)
	default:
		return v.literal
	}
}

// parseValue parses an argument: a variable, a reference in braces or a literal.
func (a *arguments) parseValue(word string) value {
	if variable, found := strings.CutPrefix(word, "$"); found {
		if !a.parser.variables[variable] {
			a.fail(fmt.Errorf("no earlier step sets %s", word))
		}
		a.uses = append(a.uses, variable)
		return value{variable: variable}
	}
	if inner, found := strings.CutPrefix(word, "{"); found {
		return a.parseReference(strings.TrimSuffix(inner, "}"))
	}
	return value{literal: strings.ReplaceAll(word, "~", " ")}
}

// parseReference parses the content of braces.
func (a *arguments) parseReference(inner string) value {
	name, attribute, _ := strings.Cut(inner, ".")
	if attribute == "policy" {
		return value{resolve: func(f *Fleet) string { return f.policyPath(name) }}
	}
	a.checkProcess(value{literal: name})
	switch attribute {
	case "config":
		return value{resolve: func(f *Fleet) string { return f.Process(name).Config }}
	case "address":
		return value{resolve: func(f *Fleet) string { return f.Process(name).Addr }}
	}
	a.fail(fmt.Errorf("{%s} is unknown", inner))
	return value{}
}

// texts returns the texts that arguments stand for.
func (r *runner) texts(values []value) (texts []string) {
	for _, v := range values {
		texts = append(texts, v.text(r))
	}
	return texts
}

// joined returns the texts that arguments stand for, separated by spaces.
func (r *runner) joined(values []value) string { return strings.Join(r.texts(values), " ") }

// fieldTexts returns the texts that fields stand for, by field name.
func (r *runner) fieldTexts(fields []field) map[string]string {
	texts := map[string]string{}
	for _, field := range fields {
		texts[field.key] = field.text.text(r)
	}
	return texts
}

// process returns the process that an argument stands for.
func (r *runner) process(v value) (*Process, error) {
	name := v.text(r)
	p := r.fleet.Process(name)
	if p == nil {
		return nil, &noProcessError{name: name}
	}
	return p, nil
}
