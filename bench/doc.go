// Package bench measures what the control state of a node costs at the size of
// a whole fleet.
package bench
