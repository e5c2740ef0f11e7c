package node

import "io"

// Options configure a node process.
type Options struct {
	// Config is the path of the settings file.
	Config string
	// LogOutput receives the log when the settings name no path; nil is standard output.
	LogOutput io.Writer
}
