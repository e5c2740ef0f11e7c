package admin

import (
	"html/template"
	"net/http"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// statusData holds the values shown on the status page.
type statusData struct {
	Node     string
	Leaving  bool
	InFlight int
	Revision uint64
	Target   kernel.TargetStatus
	Bindings []profile.Binding
	Members  []membership.Member
}

var statusTemplate = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="2"><title>{{.Node}}</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.3em .7em;text-align:left}</style>
</head><body>
<h1>Node {{.Node}}</h1>
<p>{{if .Leaving}}Leaving. {{end}}Requests in flight: {{.InFlight}}. Highest store revision learned: {{.Revision}}.</p>
<h2>Backend server</h2>
<table><tr><th>service</th><th>address</th><th>limit</th><th>in flight</th><th>queued</th><th>admits down to</th><th>service time</th></tr>
<tr><td>{{.Target.Backend.Service}}</td><td>{{.Target.Backend.Address}}</td><td>{{.Target.Pressure.Limit}}</td><td>{{.Target.Pressure.InFlight}}</td><td>{{.Target.Pressure.Queued}}</td><td>{{.Target.Pressure.AdmitPriority}}</td><td>{{.Target.Pressure.ServiceTime}}</td></tr></table>
<h2>Profiles in force</h2>
<table><tr><th>service</th><th>profile</th><th>revision</th><th>waits for</th></tr>
{{range .Bindings}}<tr><td>{{.Service}}</td><td>{{.Profile}}</td><td>{{.Revision}}</td><td>{{if .Pending}}{{.Pending}} at {{.Needs}}{{end}}</td></tr>
{{end}}</table>
<h2>Members ({{len .Members}})</h2>
<table><tr><th>node</th><th>service</th><th>address</th><th>region</th><th>failure domain</th><th>state</th></tr>
{{range .Members}}<tr><td>{{.ID}}</td><td>{{.Service}}</td><td>{{.Addr}}</td><td>{{.Region}}</td><td>{{.Domain}}</td><td>{{.State}}</td></tr>
{{end}}</table>
</body></html>
`))

// serveStatus serves the status page of the node.
func (a *admin) serveStatus(w http.ResponseWriter, _ *http.Request) {
	page := statusData{
		Node: a.k.NodeID, Leaving: a.k.Drain.Leaving(), InFlight: a.k.Drain.InFlight(), Revision: a.k.Profiles.HighestRevision(),
		Target: a.k.Target.Status(), Bindings: a.k.Profiles.Snapshot().Bindings(), Members: a.k.Fleet.All(),
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := statusTemplate.Execute(w, page); err != nil {
		a.k.Log.Debug("status_page_failed", zap.Error(err))
	}
}
