package admission

import (
	"math"
	"testing"
)

// TestOneSamplePerClassIsNotCompared compares windows with one sample of each of many
// classes. They have no degrees of freedom, and the margin was not a number.
func TestOneSamplePerClassIsNotCompared(t *testing.T) {
	var window, base classSums
	for class := range 2 * minWeight {
		window.add(class, 0.1)
		base.add(class, 0.2)
	}
	if ratio, ok := window.ratioTo(&base); ok || math.IsNaN(ratio) {
		t.Fatalf("ratio %v, comparable %t", ratio, ok)
	}
}
