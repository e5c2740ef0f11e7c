// Command dogwoodhatch is the command line client for operators. It sends requests
// to the administration interface of a node.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit status.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitNotKnown = 4
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// environment holds the global options and the output stream of all commands.
type environment struct {
	Node      string `long:"node" value-name:"URL" env:"DOGWOODHATCH_NODE" default:"http://127.0.0.1:7480" description:"administration interface of a node"`
	TokenFile string `long:"token-file" value-name:"FILE" env:"DOGWOODHATCH_TOKEN_FILE" description:"file with the token of your credential"`

	out io.Writer
}

// exitError is an error with its own exit status. The text is printed to standard
// error.
type exitError struct {
	status int
	text   string
}

func (e *exitError) Error() string { return e.text }

// usageError returns an error for wrong arguments, with the status exitUsage.
func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Sprintf(format, args...)}
}

// run executes one command line and returns the exit status.
func run(args []string, out, errOut io.Writer) int {
	env := &environment{out: out}
	parser := flags.NewNamedParser("dogwoodhatch", flags.HelpFlag|flags.PassDoubleDash)
	_, _ = parser.AddGroup("Node", "", env)
	addCommands(parser, env)
	_, err := parser.ParseArgs(args)
	return reportError(err, out, errOut)
}

// reportError prints an error, or the help that was asked for, and returns the exit
// status.
func reportError(err error, out, errOut io.Writer) int {
	var usage *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case flags.WroteHelp(err):
		fmt.Fprintln(out, err)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, err)
		return exitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(errOut, exit.text)
		return exit.status
	}
	fmt.Fprintln(errOut, err)
	return exitFailure
}

// addCommands registers every command.
func addCommands(parser *flags.Parser, env *environment) {
	add := func(c *flags.Command, name, short string, data any) *flags.Command {
		added, err := c.AddCommand(name, short, short+".", data)
		if err != nil {
			panic(err) // the struct tags are malformed, which every test detects
		}
		return added
	}
	add(parser.Command, "check", "Check profiles and settings and print all faults", &checkCommand{env: env})
	p := add(parser.Command, "profile", "Read and change profiles", &struct{}{})
	add(p, "list", "List the profiles", &listCommand{env: env})
	add(p, "get", "Print a profile", &getCommand{env: env})
	add(p, "put", "Create or replace a profile", &putCommand{env: env})
	add(p, "delete", "Delete a profile that no service is bound to", &deleteCommand{env: env})
	add(p, "undo", "Restore the text that the latest change replaced", &undoCommand{env: env})
	add(p, "history", "List the latest changes of a profile", &historyCommand{env: env})
	s := add(parser.Command, "service", "Read and change the profile that a service is bound to", &struct{}{})
	add(s, "bind", "Bind a service to a profile", &bindCommand{env: env})
	add(s, "get", "Print the binding of a service", &getBindingCommand{env: env})
	t := add(parser.Command, "team", "Read and change the teams and the digests of their API keys", &struct{}{})
	add(t, "get", "Print the teams", &getTeamsCommand{env: env})
	add(t, "put", "Create or replace the teams; keys are replaced by their digests", &putTeamsCommand{env: env})
	add(t, "delete", "Delete all teams, so that no keys are asked for", &deleteTeamsCommand{env: env})
	add(t, "history", "List the latest changes of the teams", &teamHistoryCommand{env: env})
	add(t, "digest", "Print the digest of a key read from standard input", &digestCommand{env: env})
	c := add(parser.Command, "change", "Find the outcome of a change", &struct{}{})
	add(c, "resolve", "Print whether a change was accepted", &resolveCommand{env: env})
	add(parser.Command, "members", "List the members that the node knows", &membersCommand{env: env})
	add(parser.Command, "quota", "List what the teams have used of their quotas over all nodes", &quotaCommand{env: env})
	add(parser.Command, "status", "Print the state of the node", &statusCommand{env: env})
	add(parser.Command, "traffic", "Summarize the requests that the node has handled", &trafficCommand{env: env})
	add(parser.Command, "explain", "Explain how one request was handled, from the logs of nodes", &explainCommand{env: env})
	add(parser.Command, "drain", "Begin a graceful shutdown of the node", &drainCommand{env: env})
}
