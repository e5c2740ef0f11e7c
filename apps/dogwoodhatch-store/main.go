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

	"github.com/dogwoodhatch/dogwoodhatch/standin/store"
)

type options struct {
	Listen string `long:"listen" value-name:"ADDR" default:"127.0.0.1:7400" description:"address of the HTTP interface"`
	Writes int    `long:"writes" value-name:"N" default:"500" description:"writes per second beyond which calls are answered with 429"`
	Reads  int    `long:"reads" value-name:"N" default:"2000" description:"reads per second beyond which calls are answered with 429"`
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

// serve listens until it fails.
func serve(opts options) error {
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return err
	}
	fmt.Printf("event=listening addr=%s\n", listener.Addr())
	cfg := store.Config{WritesPerSecond: opts.Writes, ReadsPerSecond: opts.Reads}
	server := &http.Server{Handler: store.New(cfg), ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}
