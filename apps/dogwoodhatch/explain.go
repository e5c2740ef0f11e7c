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
		Logs []string `positional-arg-name:"LOG" required:"1" description:"log of a node; - reads standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the log lines of a request and, indented, those of the requests
// that it caused.
func (c *explainCommand) Execute([]string) error {
	s := newLogSet()
	for _, path := range c.Args.Logs {
		if err := s.readFile(path); err != nil {
			return err
		}
	}
	if !s.print(c.env.out, c.Args.ID, 0) {
		return &exitError{exitFailure, "no log has a line of request " + c.Args.ID + "; successful requests are logged only for a sample of the chains (key sample in section log)"}
	}
	return nil
}

// logLine is one line of a node's log that belongs to a request.
type logLine struct {
	node   string
	event  string
	fields []field // in the order in which they were logged
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

// logSet holds the log lines of all requests, by request ID. Lines are ordered by
// cause and by their position in the log of their node, not by time, because the
// clocks of nodes may differ.
type logSet struct {
	lines map[string][]logLine
	ids   []string // request IDs in the order of their first line
}

func newLogSet() *logSet { return &logSet{lines: map[string][]logLine{}} }

func (s *logSet) readFile(path string) error {
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

// maxLineBytes bounds the length of a log line; a longer line ends the reading with
// an error.
const maxLineBytes = 1 << 20

// read adds the lines of one log. If a line has text before its first key, the last
// word of that text is the name of the node, which overrides node. This is how logs
// of several nodes are merged into one file.
func (s *logSet) read(r io.Reader, node string) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := strings.Index(lines.Text(), "ts=")
		if start < 0 {
			continue
		}
		l := logLine{node: node, fields: parseFields(lines.Text()[start:])}
		if words := strings.Fields(lines.Text()[:start]); len(words) > 0 {
			l.node = words[len(words)-1]
		}
		id := l.get("request")
		l.event = l.get("event")
		if id == "" || l.event == "" {
			continue
		}
		if s.lines[id] == nil {
			s.ids = append(s.ids, id)
		}
		s.lines[id] = append(s.lines[id], l)
	}
	return lines.Err()
}

// parseFields parses the key=value pairs of a logfmt line. Quoted values may contain
// spaces and keep their quotes.
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

// omittedKeys are the keys that are not printed with each line, because the heading
// and the order of the lines already show what they say.
var omittedKeys = []string{"ts", "level", "event", "request", "chain"}

// print writes the lines of a request and of the requests below it, indented by
// depth. It returns false if there are none.
func (s *logSet) print(out io.Writer, id string, depth int) bool {
	lines := s.lines[id]
	if len(lines) == 0 {
		return false
	}
	indent := strings.Repeat("    ", depth)
	fmt.Fprintf(out, "%srequest %s\n", indent, id)
	var sourceLines, targetLines []logLine
	for _, l := range lines {
		if l.event == "attempt" {
			targetLines = append(targetLines, l)
		} else {
			sourceLines = append(sourceLines, l)
		}
	}
	// The decisions of the source node come first, then the attempts at the target
	// nodes, then the requests that these caused, and then the end of the request.
	var endLines []logLine
	for _, l := range sourceLines {
		if l.event == "request" || l.event == "answer_broke_off" {
			endLines = append(endLines, l)
			continue
		}
		writeLine(out, indent+"  ", &l)
	}
	for _, l := range targetLines {
		writeLine(out, indent+"  ", &l)
	}
	for _, child := range s.ids {
		if rest, ok := strings.CutPrefix(child, id+"."); ok && !strings.Contains(rest, ".") {
			s.print(out, child, depth+1)
		}
	}
	for _, l := range endLines {
		writeLine(out, indent+"  ", &l)
	}
	return true
}

func writeLine(out io.Writer, indent string, l *logLine) {
	fmt.Fprintf(out, "%s%s: %s", indent, l.node, l.event)
	for _, f := range l.fields {
		if !slices.Contains(omittedKeys, f.key) && f.value != "" {
			fmt.Fprintf(out, " %s=%s", f.key, f.value)
		}
	}
	fmt.Fprintln(out)
}
