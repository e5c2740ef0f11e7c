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
	MaxRetries  = 8 // per call chain
	MinDeadline = 10 * time.Millisecond
	MaxDeadline = time.Minute // must be below the retention of attempts at target nodes
)

// Section names of the INI text.
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

// ValidName reports whether name is valid for a profile, a class or a service: up to
// 63 lower case letters, digits, dots and hyphens, with a letter or digit at both
// ends.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse parses a profile for publishing. Errors are of kind errs.Invalid and list
// every fault with its section, key, value and remedy (see FaultsOf). Unknown sections
// and keys are faults.
func Parse(name string, text []byte) (*Profile, error) {
	r := readProfile(name, text)
	faults := append(r.faults, r.unknown...)
	if len(faults) > 0 {
		return nil, faults.wrap(name)
	}
	return r.profile, nil
}

// ParseLenient parses a profile at a node. Unknown sections and keys, which may come
// from a newer version of the program, are ignored and returned as a list. Any other
// fault is an error of kind errs.Invalid.
func ParseLenient(name string, text []byte) (*Profile, []string, error) {
	r := readProfile(name, text)
	if len(r.faults) > 0 {
		return nil, nil, r.faults.wrap(name)
	}
	ignored := make([]string, 0, len(r.unknown))
	for _, f := range r.unknown {
		ignored = append(ignored, strings.TrimSpace("["+f.Section+"] "+f.Key))
	}
	return r.profile, ignored, nil
}

// reader holds the profile being parsed and its faults.
type reader struct {
	profile *Profile
	faults  Faults
	unknown Faults
}

// readProfile reads the INI text of a profile and collects its faults.
func readProfile(name string, text []byte) *reader {
	r := &reader{profile: newProfile(name)}
	if !ValidName(name) {
		r.addFault("", "", name, "use up to 63 lower case letters, digits, dots and hyphens", "bad profile name")
	}
	if len(text) > MaxBytes {
		r.addFault("", "", strconv.Itoa(len(text))+" bytes", fmt.Sprintf("keep the text within %d bytes", MaxBytes), "profile is too large")
		return r
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true,
	}, text)
	if err != nil {
		r.addFault("", "", err.Error(), "write [section] and key = value lines", "not INI text")
		return r
	}
	r.readSections(file)
	r.checkOverlaps()
	r.profile.deriveDefaults()
	return r
}

func (r *reader) addFault(section, key, value, remedy, message string) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Value: value, Message: message, Remedy: remedy})
}

func (r *reader) addUnknownKey(section, key, value string) {
	r.unknown = append(r.unknown, Fault{Section: section, Key: key, Value: value, Message: "unknown key",
		Remedy: "remove the key or correct its spelling"})
}

// readSections reads all sections. A repeated section is a fault.
func (r *reader) readSections(file *ini.File) {
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			r.readTopLevelKeys(s)
			continue
		}
		if seen[name] {
			r.addFault(name, "", "", "merge the sections", "section appears twice")
			continue
		}
		seen[name] = true
		r.readSection(s)
	}
	if len(r.profile.Classes) > MaxClasses {
		r.addFault("", "", strconv.Itoa(len(r.profile.Classes)), fmt.Sprintf("keep to %d classes", MaxClasses), "too many classes")
	}
}

func (r *reader) readTopLevelKeys(s *ini.Section) {
	for _, k := range s.Keys() {
		r.addUnknownKey("", k.Name(), k.Value())
	}
}

func (r *reader) readSection(s *ini.Section) {
	class, isClass := strings.CutPrefix(s.Name(), classPrefix)
	switch {
	case isClass:
		r.readClassSection(s, strings.TrimSpace(class))
	case s.Name() == sectionProfile:
		r.readKeys(s, map[string]func(string) string{"owners": r.setOwners})
	case s.Name() == sectionDefault:
		r.readKeys(s, classSetters(&r.profile.Default))
	case s.Name() == sectionSubCall:
		r.readKeys(s, map[string]func(string) string{"deadline": durationSetter(&r.profile.SubCall.Deadline)})
	default:
		r.unknown = append(r.unknown, Fault{Section: s.Name(), Message: "unknown section",
			Remedy: "use profile, default, sub-call or \"class NAME\""})
	}
}

// readKeys passes each value to the setter of its key, which returns a remedy if the
// value is invalid. It returns the known keys that are present.
func (r *reader) readKeys(s *ini.Section, setters map[string]func(string) string) map[string]bool {
	seen := make(map[string]bool)
	for _, k := range s.Keys() {
		set, known := setters[k.Name()]
		values := k.ValueWithShadows()
		switch {
		case !known:
			r.addUnknownKey(s.Name(), k.Name(), strings.Join(values, " "))
			continue
		case len(values) > 1:
			r.addFault(s.Name(), k.Name(), strings.Join(values, " "), "keep one of the values", "key appears twice")
		default:
			if remedy := set(k.Value()); remedy != "" {
				r.addFault(s.Name(), k.Name(), k.Value(), remedy, "bad value")
			}
		}
		seen[k.Name()] = true
	}
	return seen
}

func (r *reader) readClassSection(s *ini.Section, name string) {
	c := Class{Name: name}
	setters := classSetters(&c)
	setters["methods"] = listSetter(&c.Methods, validMethod, "use upper case HTTP methods, separated by commas")
	setters["paths"] = listSetter(&c.Paths, validPath, `use "/x" or "/x/*", separated by commas`)
	seen := r.readKeys(s, setters)
	if !ValidName(name) || name == defaultClassName || name == subCallClassName {
		r.addFault(s.Name(), "", name, "use lower case letters, digits, dots and hyphens, and no reserved name", "bad class name")
	}
	for _, required := range []string{"priority", "deadline", "idempotent", "paths"} {
		if !seen[required] {
			r.addFault(s.Name(), required, "", "set the key", "key is missing")
		}
	}
	if c.Idempotent && len(c.Methods) == 0 {
		r.addFault(s.Name(), "methods", "", "name the methods, or set idempotent = false", "an idempotent class matches every method")
	}
	r.profile.Classes = append(r.profile.Classes, c)
}

// classSetters returns the setters of the keys that all classes and [default] share.
func classSetters(c *Class) map[string]func(string) string {
	return map[string]func(string) string{
		"priority": func(v string) string {
			p, ok := call.ParsePriority(v)
			if !ok {
				return "use critical, high, normal or low"
			}
			c.Priority = p
			return ""
		},
		"deadline": durationSetter(&c.Deadline),
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

func (r *reader) setOwners(v string) string {
	return listSetter(&r.profile.Owners, ValidName, "use names of credentials, separated by commas")(v)
}

// checkOverlaps adds a fault for each method and path that two classes have in common,
// because both would match a call equally well.
func (r *reader) checkOverlaps() {
	type match struct{ path, method string }
	firstClass := make(map[match]string)
	for _, c := range r.profile.Classes {
		methods := c.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		for _, p := range c.Paths {
			for _, m := range methods {
				key := match{p, m}
				if other, taken := firstClass[key]; taken {
					r.addFault(classPrefix+c.Name, "paths", strings.TrimSpace(m+" "+p),
						"keep the match in one class", fmt.Sprintf("class %s has the same match", other))
					continue
				}
				firstClass[key] = c.Name
			}
		}
	}
}

func durationSetter(d *time.Duration) func(string) string {
	return func(v string) string {
		parsed, err := time.ParseDuration(v)
		if err != nil || parsed < MinDeadline || parsed > MaxDeadline {
			return fmt.Sprintf("use a duration from %s to %s, such as 750ms", MinDeadline, MaxDeadline)
		}
		*d = parsed
		return ""
	}
}

func listSetter(list *[]string, valid func(string) bool, remedy string) func(string) string {
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

// wrap returns the faults as one error of kind errs.Invalid.
func (f Faults) wrap(name string) error {
	return errs.Wrap(f, errs.Invalid, "correct every fault and publish again", "profile %q has %d fault(s)", name, len(f))
}
