// Command dogwoodhatch-node runs the node, the process beside each backend server
// that decides which calls run, wait or are refused.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/dogwoodhatch/dogwoodhatch/memlimit"
	"github.com/dogwoodhatch/dogwoodhatch/node"
)

// exitUsage is the exit status for errors in the command line or the settings.
const exitUsage = 2

// descriptors is a number that a template of the platform fills in and some deployments do not have.
type descriptors int

// UnmarshalFlag implements flags.Unmarshaler.
func (d *descriptors) UnmarshalFlag(value string) error {
	if value == "" {
		return nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return fmt.Errorf("%q is not a number of descriptors; use 0 or more", value)
	}
	*d = descriptors(n)
	return nil
}

func main() {
	debug.SetMemoryLimit(memlimit.MinLimit) // the node raises it while collections cost too much
	var opts struct {
		Config      string      `short:"c" long:"config" env:"DOGWOODHATCH_NODE_FILE" required:"true" value-name:"FILE" description:"settings file (INI)"`
		Descriptors descriptors `long:"descriptors" value-name:"N" description:"descriptors that the node may open, unless the settings say; empty for the limit of the process"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	n, err := node.New(&node.Options{Config: opts.Config, Descriptors: int(opts.Descriptors)})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	go handleSignals(n)
	if err := n.Main(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// handleSignals reloads the settings on SIGHUP and stops the node on SIGTERM and
// SIGINT.
func handleSignals(n *node.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	for s := range signals {
		if s == syscall.SIGHUP {
			n.Reload()
			continue
		}
		go n.Exit()
	}
}
