// Package load sends open-loop load to the outside listeners of nodes and
// checks every answer: requests arrive as a Poisson process at a given rate,
// whether or not earlier ones have ended. At the end it reads from the stand-in
// backend servers what was executed, and finds requests that ran twice and
// requests that ran although they were refused as not run.
package load
