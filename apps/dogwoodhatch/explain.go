package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

type explainCommand struct {
	env *environment

	Args struct {
		ID   string   `positional-arg-name:"ID" description:"id of the request"`
		Logs []string `positional-arg-name:"LOG" required:"1" description:"logs of nodes; - is standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute prints what the logs tell of a request and of the calls below it.
func (c *explainCommand) Execute([]string) error {
	s := newStory()
	for _, path := range c.Args.Logs {
		if err := s.readFile(path); err != nil {
			return err
		}
	}
	if !s.print(c.env.out, c.Args.ID, 0) {
		return &exitError{exitFault, "no log has a line of request " + c.Args.ID + "; requests that went well are logged for one of so many chains only (sample in section log)"}
	}
	return nil
}

// logLine is one line about a request.
type logLine struct {
	node   string
	event  string
	fields []field // in the order of the line
}

type field struct{ key, value string }

func (l *logLine) get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// story holds the lines of all requests by id. Lines are ordered by cause and by
// their place in the log of their node; clocks of nodes need not agree.
type story struct {
	lines map[string][]logLine
	order []string // ids as they were met
}

func newStory() *story { return &story{lines: map[string][]logLine{}} }

func (s *story) readFile(path string) error {
	if path == "-" {
		return s.read(os.Stdin, "")
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return s.read(f, strings.TrimSuffix(filepath.Base(path), ".log"))
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// read takes the lines of one log. A word right before the first pair of a line
// names its node, as in logs of several nodes in one file.
func (s *story) read(r io.Reader, node string) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		at := strings.Index(lines.Text(), "ts=")
		if at < 0 {
			continue
		}
		l := logLine{node: node, fields: parseFields(lines.Text()[at:])}
		if words := strings.Fields(lines.Text()[:at]); len(words) > 0 {
			l.node = words[len(words)-1]
		}
		id := l.get("request")
		l.event = l.get("event")
		if id == "" || l.event == "" {
			continue
		}
		if s.lines[id] == nil {
			s.order = append(s.order, id)
		}
		s.lines[id] = append(s.lines[id], l)
	}
	return lines.Err()
}

// parseFields reads pairs of key and value; values with spaces are quoted.
func parseFields(text string) []field {
	var fields []field
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		value, next := rest, ""
		if strings.HasPrefix(rest, `"`) {
			end := 1
			for end < len(rest) && rest[end] != '"' {
				if rest[end] == '\\' {
					end++
				}
				end++
			}
			value, next = rest[:min(end+1, len(rest))], rest[min(end+1, len(rest)):]
		} else if i := strings.IndexByte(rest, ' '); i >= 0 {
			value, next = rest[:i], rest[i:]
		}
		fields = append(fields, field{strings.TrimSpace(key), value})
		text = strings.TrimSpace(next)
	}
	return fields
}

// hidden are the fields that the order of the story tells already.
var hidden = []string{"ts", "level", "event", "request", "chain"}

// print writes the story of a request and reports whether there is one.
func (s *story) print(out io.Writer, id string, depth int) bool {
	lines := s.lines[id]
	if len(lines) == 0 {
		return false
	}
	indent := strings.Repeat("    ", depth)
	fmt.Fprintf(out, "%srequest %s\n", indent, id)
	var source, target []logLine
	for _, l := range lines {
		if l.event == "attempt" {
			target = append(target, l)
		} else {
			source = append(source, l)
		}
	}
	// What the source decided before its end comes first, then what the targets
	// did with the attempts, then the calls that these led to, then the end.
	var end []logLine
	for _, l := range source {
		if l.event == "request" || l.event == "answer_broke_off" {
			end = append(end, l)
			continue
		}
		writeLine(out, indent+"  ", &l)
	}
	for _, l := range target {
		writeLine(out, indent+"  ", &l)
	}
	for _, child := range s.order {
		if rest, ok := strings.CutPrefix(child, id+"."); ok && !strings.Contains(rest, ".") {
			s.print(out, child, depth+1)
		}
	}
	for _, l := range end {
		writeLine(out, indent+"  ", &l)
	}
	return true
}

func writeLine(out io.Writer, indent string, l *logLine) {
	fmt.Fprintf(out, "%s%s: %s", indent, l.node, l.event)
	for _, f := range l.fields {
		if !slices.Contains(hidden, f.key) && f.value != "" {
			fmt.Fprintf(out, " %s=%s", f.key, f.value)
		}
	}
	fmt.Fprintln(out)
}
