// Command dogwoodhatch-store runs an in-memory stand-in of the platform's key-value
// service for tests and trials.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
)

type options struct {
	Listen []string `long:"listen" value-name:"ADDR" default:"127.0.0.1:7400" description:"address of the HTTP interface; may be repeated, and faults are set for each address separately"`
	Writes int      `long:"writes" value-name:"N" default:"400" description:"maximum writes per second; further calls are answered with 429"`
	Reads  int      `long:"reads" value-name:"N" default:"2000" description:"maximum reads per second; further calls are answered with 429"`
}

// Exit status.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := serve(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// serve listens on all addresses until one of them fails.
func serve(opts options) error {
	server := standin.New(standin.Config{WritesPerSecond: opts.Writes, ReadsPerSecond: opts.Reads})
	failed := make(chan error)
	for _, addr := range opts.Listen {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		fmt.Printf("event=listening addr=%s\n", listener.Addr())
		httpServer := &http.Server{Handler: server.NewEndpoint(), ReadHeaderTimeout: 10 * time.Second}
		go func() { failed <- httpServer.Serve(listener) }()
	}
	return <-failed
}
