// Command dogwoodhatch-load sends open-loop load to nodes and checks every answer.
// It prints a report of one line. The exit status is 1 if an answer to a client or
// between services was wrong, or a request ran twice or was falsely refused, and 2 if
// the run itself failed.
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

// Exit status.
const (
	exitCheckFailed = 1
	exitRunFailed   = 2
)

func main() {
	opts := load.DefaultOptions()
	if _, err := flags.Parse(opts); err != nil {
		os.Exit(parseStatus(err))
	}
	run, err := load.New(opts)
	if err != nil {
		fatal(err)
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
		fatal(err)
	}
	if !report.Sound() {
		os.Exit(exitCheckFailed)
	}
}

// parseStatus returns the exit status for an error that go-flags has printed.
func parseStatus(err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return 0
	}
	return exitRunFailed
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitRunFailed)
}
