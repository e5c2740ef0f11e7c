// Package backend implements a stand-in backend server for tests and
// measurements. It executes requests in a limited number of slots, sheds
// requests that exceed its connection limit, reports load and health with a
// delay, starts cold, drains, and honours deadlines and cancellation. It makes
// calls of its own through the node beside it and records each execution, so
// that a test can check which requests ran on which server.
//
// Every path executes a request, except for GET /load, GET /health,
// GET /executions, PUT /control and POST /drain.
package backend
