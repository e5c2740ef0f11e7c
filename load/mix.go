package load

import (
	"math/rand/v2"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

const classSectionPrefix = "class "

// Class defines a class of requests.
type Class struct {
	Name       string
	Service    string        // value of the Host header
	Method     string        // HTTP method
	Path       string        // path and query
	Weight     float64       // share of the arrivals, relative to the other weights
	Timeout    time.Duration // answers that take longer are late
	BodyBytes  int           // size of the request body
	Idempotent bool          // false: requests carry an Idempotency-Key and must run at most once
	Targets    []string      // base URLs that replace Options.Targets
	Direct     bool          // the targets are backend servers, not nodes
}

// Mix is a set of request classes with weights.
type Mix struct {
	Classes     []*Class
	totalWeight float64
}

// LoadMix reads a mix from an INI file or its content. Each section
// "[class NAME]" has the keys service, method, path, weight, timeout, body,
// idempotent, targets and direct. It returns an error of kind errs.Invalid,
// which names the class if one is invalid.
func LoadMix(source any) (*Mix, error) {
	file, err := ini.Load(source)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "check that the file exists and has one [class NAME] section for each class", "cannot read the mix")
	}
	m := &Mix{}
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), classSectionPrefix)
		if !ok {
			continue
		}
		class, err := readClass(name, section)
		if err != nil {
			return nil, err
		}
		m.Classes = append(m.Classes, class)
		m.totalWeight += class.Weight
	}
	if m.totalWeight <= 0 {
		return nil, errs.New(errs.Invalid, "write a [class NAME] section with a weight above 0", "the mix has no class with a weight above 0")
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
		return nil, errs.New(errs.Invalid, "set its key service", "class %q has no service", name)
	}
	if c.Weight < 0 || c.Timeout <= 0 {
		return nil, errs.New(errs.Invalid, "set a weight of 0 or more and a timeout above 0",
			"class %q has weight %g and timeout %s", name, c.Weight, c.Timeout)
	}
	return c, nil
}

// pick returns a random class. The probability of each is proportional to its
// weight.
func (m *Mix) pick(rng *rand.Rand) *Class {
	remaining := rng.Float64() * m.totalWeight
	for _, c := range m.Classes {
		remaining -= c.Weight
		if remaining < 0 {
			return c
		}
	}
	return m.Classes[len(m.Classes)-1]
}
