package membership

import (
	"flag"
	"testing"
)

// TestMain fixes the seed of the property tests; a flag overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}
