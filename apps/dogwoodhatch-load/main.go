// Command dogwoodhatch-load sends open-loop load to nodes and checks each
// answer. It prints one line and exits with 1 if an answer was wrong, a request
// ran twice or was falsely refused, and with 2 if the run itself failed.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/dogwoodhatch/dogwoodhatch/load"
)

const (
	statusUnsound = 1
	statusError   = 2
)

func main() {
	opts := load.DefaultOptions()
	if _, err := flags.Parse(opts); err != nil {
		os.Exit(parseStatus(err))
	}
	run, err := load.New(opts)
	if err != nil {
		exit(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		run.Exit()
	}()
	report, err := run.Main()
	fmt.Println(report.Line())
	if err != nil {
		exit(err)
	}
	if !report.Sound() {
		os.Exit(statusUnsound)
	}
}

// parseStatus returns the exit status for an error that go-flags has printed.
func parseStatus(err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return 0
	}
	return statusError
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(statusError)
}
