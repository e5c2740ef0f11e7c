// Command fleet runs the cases of the second review: node processes on loopback addresses
// beside stand-ins for the platform's store, backend servers and clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(f *fleet) error{
	"quarantine": runQuarantine,
	"checkin":    runCheckIn,
	"header":     runHeader,
	"path":       runPath,
	"pipeline":   runPipeline,
	"abandoned":  runAbandoned,
	"revision":   runRevision,
	"lapse":      runLapse,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run executes a case, with its record in the file at path.
func run(c func(f *fleet) error, path string) int {
	f, err := newFleet(path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer f.close()
	go f.endEarly()
	switch err := c(f); {
	case err == nil:
		f.record("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		f.record("result: %v", err)
		return exitBroken
	default:
		f.record("result: not run: %v", err)
		return exitNotRun
	}
}

// maxRun bounds the time of a case.
const maxRun = 115 * time.Second

// endEarly ends the case, with all its processes, after maxRun or on a signal.
func (f *fleet) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		f.record("result: not run: %v", s)
	case <-time.After(maxRun):
		f.record("result: not run: longer than %v", maxRun)
	}
	f.close()
	os.Exit(exitNotRun)
}
