package profile

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one error in the INI text of a profile.
type Fault struct {
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	var where string
	if f.Section != "" {
		where = "[" + f.Section + "] "
	}
	if f.Key != "" {
		where += f.Key + " "
	}
	if f.Value != "" {
		where += fmt.Sprintf("= %q ", f.Value)
	}
	return strings.TrimSuffix(where, " ") + ": " + f.Message + "; " + f.Remedy
}

// Faults are all faults of an INI text. Unknown sections and keys come last.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// FaultsOf returns the faults that err wraps, or nil.
func FaultsOf(err error) Faults {
	var f Faults
	if errors.As(err, &f) {
		return f
	}
	return nil
}
