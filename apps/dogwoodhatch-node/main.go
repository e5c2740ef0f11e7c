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
		Config string `short:"c" long:"config" required:"true" value-name:"FILE" description:"settings file (INI)"`
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
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		n.Exit()
	}()
	if err := n.Main(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
