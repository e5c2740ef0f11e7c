package profile

import (
	"fmt"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Format returns p as INI text that Parse reads back as the same profile.
func (p *Profile) Format() []byte {
	var b strings.Builder
	if len(p.Owners) > 0 {
		fmt.Fprintf(&b, "[%s]\nowners = %s\n\n", sectionProfile, strings.Join(p.Owners, ", "))
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		formatClass(&b, classPrefix+c.Name, c)
	}
	formatClass(&b, sectionDefault, &p.Default)
	fmt.Fprintf(&b, "[%s]\ndeadline = %s\n\n", sectionSubCall, p.SubCall.Deadline)
	fmt.Fprintf(&b, "[%s]\n", sectionAdmitShare)
	for i := call.PriorityCritical + 1; i < call.NumPriorities; i++ {
		fmt.Fprintf(&b, "%s = %s\n", i, formatFloat(p.AdmitShare[i]))
	}
	return []byte(b.String())
}

func formatClass(b *strings.Builder, section string, c *Class) {
	fmt.Fprintf(b, "[%s]\npriority = %s\ndeadline = %s\nretries = %d\nidempotent = %t\n",
		section, c.Priority, c.Deadline, c.Retries, c.Idempotent)
	if len(c.Methods) > 0 {
		fmt.Fprintf(b, "methods = %s\n", strings.Join(c.Methods, ", "))
	}
	if len(c.Paths) > 0 {
		fmt.Fprintf(b, "paths = %s\n", strings.Join(c.Paths, ", "))
	}
	b.WriteString("\n")
}
