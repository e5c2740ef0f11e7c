package node

import "io"

// Options configures a node process.
type Options struct {
	// Config is the path of the settings file.
	Config string
	// Descriptors is the number of descriptors that the process may open, if the settings set none
	// and the limit of the process is not the true one; 0 for that limit.
	Descriptors int
	// LogOutput receives the log if the settings specify no path. nil stands for
	// standard output.
	LogOutput io.Writer
}
