package routing

import "time"

// drawTwo draws two different members, each with a chance by its weight.
func (r *Router) drawTwo(list []*state, now time.Time) (*state, *state) {
	weights := make([]float64, len(list))
	for i, s := range list {
		weights[i] = max(s.weight(&r.cfg, now), leastWeight)
	}
	first := r.draw(weights)
	weights[first] = 0
	return list[first], list[r.draw(weights)]
}

// leastWeight keeps every member in the draw.
const leastWeight = 1e-6

// draw returns an index with a chance by its weight.
func (r *Router) draw(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.rng.Float64() * sum
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if x -= w; x < 0 {
			break
		}
	}
	return last
}
