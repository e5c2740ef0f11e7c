package main

import (
	"fmt"
	"net/http"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
)

type quotaCommand struct {
	env *environment
	jsonOption
}

// Execute lists the use of quotas. It fails if a part of the fleet did not answer, after it
// has listed the rest.
func (c *quotaCommand) Execute([]string) error {
	var report adminapi.QuotaReport
	if ok, err := c.env.fetch(http.MethodGet, "/v1/quotas", c.JSON, &report); !ok {
		return err
	}
	w := c.env.table("TEAM", "PER SECOND", "BURST", "WINDOW", "GRANTED", "REFUSED", "USE")
	for _, t := range report.Teams {
		use := "-"
		if limit := t.PerSecond * t.WindowSeconds; limit > 0 {
			use = fmt.Sprintf("%.0f%%", 100*float64(t.Granted)/limit)
		}
		writeRow(w, t.Team, fmt.Sprintf("%.6g", t.PerSecond), fmt.Sprintf("%.6g", t.Burst), fmt.Sprint(t.WindowSeconds, "s"), t.Granted, t.Refused, use)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if report.Missing != "" {
		return &exitError{exitFailure, "incomplete: " + report.Missing}
	}
	return nil
}
