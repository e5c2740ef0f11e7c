package routing

import "time"

// drawTwo draws two different members at random, in proportion to their weights.
func (r *Router) drawTwo(list []*memberState, now time.Time) (*memberState, *memberState) {
	weights := make([]float64, len(list))
	for i, s := range list {
		weights[i] = max(s.weight(&r.cfg, now), minDrawWeight)
	}
	first := r.drawIndex(weights)
	weights[first] = 0
	return list[first], list[r.drawIndex(weights)]
}

// minDrawWeight keeps the chance of every member above zero.
const minDrawWeight = 1e-6

// drawIndex returns a random index, in proportion to the weights.
func (r *Router) drawIndex(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	remaining := r.rng.Float64() * sum
	index := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		index = i
		if remaining -= w; remaining < 0 {
			break
		}
	}
	return index
}
