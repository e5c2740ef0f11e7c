// Command dogwoodhatch-backend runs one stand-in backend server for tests and
// benchmarks.
package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/dogwoodhatch/dogwoodhatch/standin/backend"
)

func main() {
	opts := backend.DefaultOptions()
	if _, err := flags.Parse(opts); err != nil {
		os.Exit(parseStatus(err))
	}
	opts.Logger = newLogger()
	server, err := backend.New(opts)
	if err != nil {
		opts.Logger.Fatal("backend server cannot start", zap.Error(err))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		server.Exit()
	}()
	if err := server.Main(); err != nil {
		opts.Logger.Fatal("backend server failed", zap.Error(err))
	}
}

// parseStatus returns the exit status for an error that go-flags has printed.
func parseStatus(err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return 0
	}
	return 2
}

func newLogger() *zap.Logger {
	encoder := zaplogfmt.NewEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), zapcore.InfoLevel))
}
