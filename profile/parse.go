package profile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Limits of a profile.
const (
	MaxBytes    = 64 << 10 // bytes of INI text
	MaxClasses  = 64
	MaxRetries  = 8 // of a whole call chain
	MinDeadline = 10 * time.Millisecond
	MaxDeadline = time.Minute // below the retention of attempts at the target node
)

// Sections of the INI text.
const (
	sectionProfile = "profile"
	sectionDefault = "default"
	sectionSubCall = "sub-call"
	classPrefix    = "class "
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	methodPattern  = regexp.MustCompile(`^[A-Z]{1,16}$`)
	pathPattern    = regexp.MustCompile(`^/([A-Za-z0-9._~@:+-]+/)*([A-Za-z0-9._~@:+-]+|\*)?$`)
	dotPathPattern = regexp.MustCompile(`/\.{1,2}(/|$)`)
)

// ValidName says whether name can name a profile, a class or a service: up to
// 63 lower case letters, digits, dots and hyphens, with a letter or digit at
// both ends.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse reads a profile for publishing. The error is of kind errs.Invalid and
// lists every fault with its section, key, value and remedy (see FaultsOf). An
// unknown section or key is a fault.
func Parse(name string, text []byte) (*Profile, error) {
	r := newReader(name, text)
	faults := append(r.faults, r.unknown...)
	if len(faults) > 0 {
		return nil, faults.err(name)
	}
	return r.profile, nil
}

// ParseLenient reads a profile as a node does: sections and keys of a newer
// version are ignored and listed. Any other fault is an error of kind
// errs.Invalid.
func ParseLenient(name string, text []byte) (*Profile, []string, error) {
	r := newReader(name, text)
	if len(r.faults) > 0 {
		return nil, nil, r.faults.err(name)
	}
	ignored := make([]string, 0, len(r.unknown))
	for _, f := range r.unknown {
		ignored = append(ignored, strings.TrimSpace("["+f.Section+"] "+f.Key))
	}
	return r.profile, ignored, nil
}

// reader collects a profile and its faults.
type reader struct {
	profile *Profile
	faults  Faults
	unknown Faults
}

func newReader(name string, text []byte) *reader {
	r := &reader{profile: newProfile(name)}
	if !ValidName(name) {
		r.fault("", "", name, "use up to 63 lower case letters, digits, dots and hyphens", "bad profile name")
	}
	if len(text) > MaxBytes {
		r.fault("", "", strconv.Itoa(len(text))+" bytes", fmt.Sprintf("keep the text within %d bytes", MaxBytes), "profile is too large")
		return r
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true,
	}, text)
	if err != nil {
		r.fault("", "", err.Error(), "write [section] and key = value lines", "not INI text")
		return r
	}
	r.sections(file)
	r.checkOverlaps()
	r.profile.finish()
	return r
}

func (r *reader) fault(section, key, value, remedy, message string) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Value: value, Message: message, Remedy: remedy})
}

func (r *reader) unknownKey(section, key, value string) {
	r.unknown = append(r.unknown, Fault{Section: section, Key: key, Value: value, Message: "unknown key",
		Remedy: "remove the key or correct its spelling"})
}

// sections reads every section once.
func (r *reader) sections(file *ini.File) {
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			r.looseKeys(s)
			continue
		}
		if seen[name] {
			r.fault(name, "", "", "merge the sections", "section appears twice")
			continue
		}
		seen[name] = true
		r.section(s)
	}
	if len(r.profile.Classes) > MaxClasses {
		r.fault("", "", strconv.Itoa(len(r.profile.Classes)), fmt.Sprintf("keep to %d classes", MaxClasses), "too many classes")
	}
}

func (r *reader) looseKeys(s *ini.Section) {
	for _, k := range s.Keys() {
		r.unknownKey("", k.Name(), k.Value())
	}
}

func (r *reader) section(s *ini.Section) {
	class, isClass := strings.CutPrefix(s.Name(), classPrefix)
	switch {
	case isClass:
		r.classSection(s, strings.TrimSpace(class))
	case s.Name() == sectionProfile:
		r.keys(s, map[string]func(string) string{"owners": r.owners})
	case s.Name() == sectionDefault:
		r.keys(s, classKeys(&r.profile.Default))
	case s.Name() == sectionSubCall:
		r.keys(s, map[string]func(string) string{"deadline": durationInto(&r.profile.SubCall.Deadline)})
	default:
		r.unknown = append(r.unknown, Fault{Section: s.Name(), Message: "unknown section",
			Remedy: "use profile, default, sub-call or \"class NAME\""})
	}
}

// keys hands each value to its setter, which returns a remedy if it is bad.
func (r *reader) keys(s *ini.Section, setters map[string]func(string) string) map[string]bool {
	seen := make(map[string]bool)
	for _, k := range s.Keys() {
		set, known := setters[k.Name()]
		values := k.ValueWithShadows()
		switch {
		case !known:
			r.unknownKey(s.Name(), k.Name(), strings.Join(values, " "))
			continue
		case len(values) > 1:
			r.fault(s.Name(), k.Name(), strings.Join(values, " "), "keep one of the values", "key appears twice")
		default:
			if remedy := set(k.Value()); remedy != "" {
				r.fault(s.Name(), k.Name(), k.Value(), remedy, "bad value")
			}
		}
		seen[k.Name()] = true
	}
	return seen
}

func (r *reader) classSection(s *ini.Section, name string) {
	c := Class{Name: name}
	setters := classKeys(&c)
	setters["methods"] = listInto(&c.Methods, validMethod, "use upper case HTTP methods, separated by commas")
	setters["paths"] = listInto(&c.Paths, validPath, `use "/x" or "/x/*", separated by commas`)
	seen := r.keys(s, setters)
	if !ValidName(name) || name == defaultClassName || name == subCallClassName {
		r.fault(s.Name(), "", name, "use lower case letters, digits, dots and hyphens, and no reserved name", "bad class name")
	}
	for _, required := range []string{"priority", "deadline", "idempotent", "paths"} {
		if !seen[required] {
			r.fault(s.Name(), required, "", "set the key", "key is missing")
		}
	}
	if c.Idempotent && len(c.Methods) == 0 {
		r.fault(s.Name(), "methods", "", "name the methods, or set idempotent = false", "an idempotent class matches every method")
	}
	r.profile.Classes = append(r.profile.Classes, c)
}

// classKeys returns the setters of the keys that every class has.
func classKeys(c *Class) map[string]func(string) string {
	return map[string]func(string) string{
		"priority": func(v string) string {
			p, ok := call.ParsePriority(v)
			if !ok {
				return "use critical, high, normal or low"
			}
			c.Priority = p
			return ""
		},
		"deadline": durationInto(&c.Deadline),
		"retries": func(v string) string {
			n, err := strconv.Atoi(v)
			if err != nil || n < 0 || n > MaxRetries {
				return fmt.Sprintf("use a whole number from 0 to %d", MaxRetries)
			}
			c.Retries = n
			return ""
		},
		"idempotent": func(v string) string {
			if v != "true" && v != "false" {
				return "use true or false"
			}
			c.Idempotent = v == "true"
			return ""
		},
	}
}

func (r *reader) owners(v string) string {
	return listInto(&r.profile.Owners, ValidName, "use names of credentials, separated by commas")(v)
}

// checkOverlaps reports two classes that match a call equally well.
func (r *reader) checkOverlaps() {
	type match struct{ path, method string }
	holder := make(map[match]string)
	for _, c := range r.profile.Classes {
		methods := c.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		for _, p := range c.Paths {
			for _, m := range methods {
				key := match{p, m}
				if other, taken := holder[key]; taken {
					r.fault(classPrefix+c.Name, "paths", strings.TrimSpace(m+" "+p),
						"keep the match in one class", fmt.Sprintf("class %s has the same match", other))
					continue
				}
				holder[key] = c.Name
			}
		}
	}
}

func durationInto(d *time.Duration) func(string) string {
	return func(v string) string {
		parsed, err := time.ParseDuration(v)
		if err != nil || parsed < MinDeadline || parsed > MaxDeadline {
			return fmt.Sprintf("use a duration from %s to %s, such as 750ms", MinDeadline, MaxDeadline)
		}
		*d = parsed
		return ""
	}
}

func listInto(list *[]string, valid func(string) bool, remedy string) func(string) string {
	return func(v string) string {
		var items []string
		for _, item := range strings.Split(v, ",") {
			item = strings.TrimSpace(item)
			if !valid(item) {
				return remedy
			}
			items = append(items, item)
		}
		*list = items
		return ""
	}
}

func validMethod(m string) bool { return methodPattern.MatchString(m) }

func validPath(p string) bool {
	trailing := len(p) > 1 && strings.HasSuffix(p, "/")
	return pathPattern.MatchString(p) && !dotPathPattern.MatchString(p) && !trailing
}

// err returns the faults as one typed error.
func (f Faults) err(name string) error {
	return errs.Wrap(f, errs.Invalid, "correct every fault and publish again", "profile %q has %d fault(s)", name, len(f))
}
