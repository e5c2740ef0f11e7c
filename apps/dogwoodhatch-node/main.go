// Command dogwoodhatch-node is the process beside each backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/dogwoodhatch/dogwoodhatch/node"
)

// exitUsage is the status for faults of the command line or the settings.
const exitUsage = 2

// memoryLimit is the size in bytes towards which the garbage collector works. The
// node shares its VM with a backend server.
const memoryLimit = 48 << 20

func main() {
	debug.SetMemoryLimit(memoryLimit)
	var opts struct {
		Config string `short:"c" long:"config" env:"DOGWOODHATCH_NODE_FILE" required:"true" value-name:"FILE" description:"settings file (INI)"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	n, err := node.New(&node.Options{Config: opts.Config})
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

// handleSignals reloads the settings on SIGHUP and ends the node on the others.
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
