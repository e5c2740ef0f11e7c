// Command dogwoodhatch-store runs the stand-in of the platform's key-value
// service for tests and trials. It keeps everything in memory.
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
	Listen []string `long:"listen" value-name:"ADDR" default:"127.0.0.1:7400" description:"address of the HTTP interface; each further one has faults of its own"`
	Writes int      `long:"writes" value-name:"N" default:"400" description:"writes per second beyond which calls are answered with 429"`
	Reads  int      `long:"reads" value-name:"N" default:"2000" description:"reads per second beyond which calls are answered with 429"`
}

// Exit status.
const (
	exitFault = 1
	exitUsage = 2
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
		os.Exit(exitFault)
	}
}

// serve listens until one of the addresses fails.
func serve(opts options) error {
	server := standin.New(standin.Config{WritesPerSecond: opts.Writes, ReadsPerSecond: opts.Reads})
	failed := make(chan error)
	for _, addr := range opts.Listen {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		fmt.Printf("event=listening addr=%s\n", listener.Addr())
		door := &http.Server{Handler: server.NewEndpoint(), ReadHeaderTimeout: 10 * time.Second}
		go func() { failed <- door.Serve(listener) }()
	}
	return <-failed
}
