package node

import "io"

// Options configures a node process.
type Options struct {
	// Config is the path of the settings file.
	Config string
	// LogOutput receives the log if the settings specify no path. nil stands for
	// standard output.
	LogOutput io.Writer
}
