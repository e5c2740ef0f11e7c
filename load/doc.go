// Package load generates open-loop load on the outside listeners of nodes and
// checks every answer. Requests arrive as a Poisson process at a given rate,
// whether or not earlier requests have ended. After the run, the package reads
// from the stand-in backend servers which requests they executed, and reports
// requests that ran twice and requests that ran although they were refused.
package load
