package profile

import (
	"fmt"
	"strings"
)

// Format returns p as INI text. Parse of that text returns an equal profile.
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
