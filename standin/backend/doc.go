// Package backend is a stand-in for a backend server. It executes requests in
// a bounded number of slots, sheds what exceeds its connections, reports load
// and health late, starts cold, drains, and accepts deadlines and
// cancellation. It makes calls of its own through the node beside it and
// records each execution, so that a test can tell what ran where.
//
// Endpoints besides the work itself: GET /load, GET /health, GET /executions,
// PUT /control and POST /drain.
package backend
