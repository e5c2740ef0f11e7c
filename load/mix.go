package load

import (
	"math/rand/v2"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

const classPrefix = "class "

// Class describes one kind of request.
type Class struct {
	Name       string
	Service    string        // Host of the request
	Method     string        // HTTP method
	Path       string        // path and query
	Weight     float64       // share of the arrivals, relative to the other weights
	Timeout    time.Duration // answers that take longer are late
	BodyBytes  int           // size of the request body
	Idempotent bool          // others carry an Idempotency-Key and must run at most once
	Targets    []string      // base URLs in place of the run's targets
	Direct     bool          // the targets are backend servers
}

// Mix is a set of classes with their weights.
type Mix struct {
	Classes []*Class
	total   float64
}

// LoadMix reads a mix from an INI file or its content. Each section
// "[class NAME]" has the keys service, method, path, weight, timeout, body,
// idempotent, targets and direct. It returns an error of kind errs.Invalid
// that names the faulty class.
func LoadMix(source any) (*Mix, error) {
	file, err := ini.Load(source)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "write one [class NAME] section for each class", "the mix cannot be read")
	}
	m := &Mix{}
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), classPrefix)
		if !ok {
			continue
		}
		class, err := readClass(name, section)
		if err != nil {
			return nil, err
		}
		m.Classes = append(m.Classes, class)
		m.total += class.Weight
	}
	if m.total <= 0 {
		return nil, errs.New(errs.Invalid, "write one [class NAME] section with a weight", "the mix has no class")
	}
	return m, nil
}

func readClass(name string, section *ini.Section) (*Class, error) {
	c := &Class{
		Name:       name,
		Service:    section.Key("service").String(),
		Method:     section.Key("method").MustString("GET"),
		Path:       section.Key("path").MustString("/"),
		Weight:     section.Key("weight").MustFloat64(1),
		Timeout:    section.Key("timeout").MustDuration(time.Second),
		BodyBytes:  section.Key("body").MustInt(0),
		Idempotent: section.Key("idempotent").MustBool(true),
		Targets:    section.Key("targets").Strings(","),
		Direct:     section.Key("direct").MustBool(false),
	}
	if c.Service == "" {
		return nil, errs.New(errs.Invalid, "set its service", "class %q has no service", name)
	}
	if c.Weight < 0 || c.Timeout <= 0 {
		return nil, errs.New(errs.Invalid, "set a weight of 0 or more and a timeout above 0",
			"class %q has weight %g and timeout %s", name, c.Weight, c.Timeout)
	}
	return c, nil
}

// pick draws a class by weight.
func (m *Mix) pick(rng *rand.Rand) *Class {
	at := rng.Float64() * m.total
	for _, c := range m.Classes {
		at -= c.Weight
		if at < 0 {
			return c
		}
	}
	return m.Classes[len(m.Classes)-1]
}
