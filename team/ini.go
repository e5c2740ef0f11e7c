package team

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// MaxTextBytes bounds the INI text of all teams, so that the record with it fits into a
// value of the store. 2,000 teams with four digests each take about 650 KB.
const MaxTextBytes = 900 << 10

// sectionPrefix begins the name of the section of a team, "team NAME".
const sectionPrefix = "team "

// Keys of a section.
const (
	keyPriority = "priority"
	keyRate     = "rate"
	keyBurst    = "burst"
	keyKeys     = "keys"    // API keys, only in the file of an operator
	keyDigests  = "digests" // hexadecimal SHA-256 digests of API keys
)

// Source says where an INI text comes from.
type Source uint8

// Sources of texts.
const (
	FromOperator Source = iota // a file of an operator, which may hold keys
	FromStore                  // a record, which must hold digests only
)

// Parse parses the INI text of teams. Unknown sections and keys are faults. The error is
// of kind errs.Invalid, names the team and shows no value, because values may be keys.
func Parse(text []byte, source Source) ([]Definition, error) {
	if len(text) > MaxTextBytes {
		return nil, errs.New(errs.Invalid, "define fewer teams", "the teams take %d bytes, more than %d", len(text), MaxTextBytes)
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, IgnoreContinuation: true, IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, errs.New(errs.Invalid, "write [team NAME] and key = value lines", "not INI text")
	}
	var defs []Definition
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		name, ok := strings.CutPrefix(s.Name(), sectionPrefix)
		if !ok {
			return nil, errs.New(errs.Invalid, "use sections [team NAME] only", "unknown section or keys outside a section")
		}
		def, err := parseSection(strings.TrimSpace(name), s, source)
		if err != nil {
			return nil, err
		}
		defs = append(defs, def)
	}
	return defs, nil
}

func parseSection(name string, s *ini.Section, source Source) (Definition, error) {
	def := Definition{Team: Team{Name: name}}
	for _, k := range s.Keys() {
		if remedy := def.set(k.Name(), k.Value(), source); remedy != "" {
			return def, errs.New(errs.Invalid, remedy, "team %q: invalid key or value %q", name, k.Name())
		}
	}
	return def, nil
}

// set sets the field of one key, and returns a remedy if key or value are invalid.
func (d *Definition) set(key, value string, source Source) string {
	switch key {
	case keyPriority:
		p, ok := call.ParsePriority(value)
		if !ok {
			return "use critical, high, normal or low"
		}
		d.Priority = &p
	case keyRate:
		return setNumber(&d.Quota.PerSecond, value)
	case keyBurst:
		return setNumber(&d.Quota.Burst, value)
	case keyKeys:
		if source == FromStore {
			return "send digests instead of keys, as the command line does"
		}
		for k := range strings.SplitSeq(value, ",") {
			if k = strings.TrimSpace(k); k == "" {
				return "list the keys, separated by commas"
			}
			d.Keys = append(d.Keys, DigestOf(k))
		}
	case keyDigests:
		for v := range strings.SplitSeq(value, ",") {
			raw, err := hex.DecodeString(strings.TrimSpace(v))
			if err != nil || len(raw) != len(Digest{}) {
				return "list SHA-256 digests of 64 hexadecimal digits, separated by commas"
			}
			d.Keys = append(d.Keys, Digest(raw))
		}
	default:
		return "use priority, rate, burst, keys or digests"
	}
	return ""
}

func setNumber(dst *float64, value string) string {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !validRate(v) {
		return "use a number from 0 to 1e9"
	}
	*dst = v
	return ""
}

// Format returns the INI text of teams, with digests only. Parse returns the same teams
// from it, with their digests sorted.
func Format(defs []Definition) []byte {
	var b strings.Builder
	for i := range defs {
		d := &defs[i]
		fmt.Fprintf(&b, "[%s%s]\n", sectionPrefix, d.Name)
		if d.Priority != nil {
			fmt.Fprintf(&b, "%s = %s\n", keyPriority, d.Priority)
		}
		if d.Quota.PerSecond != 0 {
			fmt.Fprintf(&b, "%s = %s\n", keyRate, strconv.FormatFloat(d.Quota.PerSecond, 'g', -1, 64))
		}
		if d.Quota.Burst != 0 {
			fmt.Fprintf(&b, "%s = %s\n", keyBurst, strconv.FormatFloat(d.Quota.Burst, 'g', -1, 64))
		}
		if len(d.Keys) > 0 {
			list := make([]string, 0, len(d.Keys))
			for _, k := range d.Keys {
				list = append(list, hex.EncodeToString(k[:]))
			}
			slices.Sort(list)
			fmt.Fprintf(&b, "%s = %s\n", keyDigests, strings.Join(list, ", "))
		}
	}
	return []byte(b.String())
}

// ParseRegistry parses the text of a record and checks the teams together. Its errors are
// those of Parse and NewRegistry.
func ParseRegistry(text []byte, source Source) (*Registry, error) {
	defs, err := Parse(text, source)
	if err != nil {
		return nil, err
	}
	if len(defs) == 0 {
		return nil, errs.New(errs.Invalid, "define a team, or delete the teams to ask for no keys", "no teams")
	}
	return NewRegistry(defs)
}
