package main

import (
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

func TestTrafficIsGroupedByClassAndReason(t *testing.T) {
	const text = `
dogwoodhatch_requests{class="buy",outcome="answered",reason="",service="rates"} 5
dogwoodhatch_requests{class="buy",outcome="refused",reason="queue_full",service="rates"} 2
dogwoodhatch_requests{class="buy",outcome="unknown",reason="conn_lost",service="rates"} 1
dogwoodhatch_target_limit 7
`
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	s := summarize(families)
	want := classTraffic{Service: "rates", Class: "buy", Answered: 5, Refused: 2, Unknown: 1}
	if len(s.Classes) != 1 || s.Classes[0] != want {
		t.Errorf("got %+v", s.Classes)
	}
	if s.Refusals["queue_full"] != 2 || s.Refusals["conn_lost"] != 1 || s.Node["target_limit"] != 7 {
		t.Errorf("got %+v", s)
	}
}
