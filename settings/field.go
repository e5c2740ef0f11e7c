package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// field binds one key of the settings file to one field of Settings.
type field struct {
	section, key string
	defaultValue string
	required     bool
	set          func(value string) error // its error ends with the remedy
	allowEmpty   bool                     // an empty value is valid and overrides the default
	// emptyIsDefault is for bounds that a template of the platform fills in and some
	// deployments do not have: an empty value selects the default.
	emptyIsDefault bool
}

// apply sets the value from f, or the default, and returns a fault or "".
func (fd field) apply(f *ini.File) string {
	value := fd.defaultValue
	if sec, err := f.GetSection(fd.section); err == nil && sec.HasKey(fd.key) {
		value = sec.Key(fd.key).String()
		if value == "" && fd.emptyIsDefault {
			value = fd.defaultValue
		}
		if value == "" && fd.defaultValue != "" && !fd.allowEmpty {
			return fmt.Sprintf("[%s] %s: empty; set a value or remove the key", fd.section, fd.key)
		}
	}
	if value == "" {
		if fd.required {
			return fmt.Sprintf("[%s] %s: missing; add the key", fd.section, fd.key)
		}
		return ""
	}
	if err := fd.set(value); err != nil {
		return fmt.Sprintf("[%s] %s = %q: %v", fd.section, fd.key, value, err)
	}
	return ""
}

// minRevoke leaves time for a watch of the store (1 s), and for one comparison of states
// with a node that watches it.
const minRevoke = 3 * time.Second

// fields lists all keys of a settings file.
func fields(s *Settings) []field {
	return []field{
		{section: "node", key: "id", required: true, set: stringValue(&s.Node.ID)},
		{section: "node", key: "region", required: true, set: stringValue(&s.Node.Region)},
		{section: "node", key: "failure_domain", required: true, set: stringValue(&s.Node.FailureDomain)},
		{section: "node", key: "service", set: stringValue(&s.Node.Service)},
		{section: "listen", key: "outside", set: addressValue(&s.Listen.Outside)},
		{section: "listen", key: "local", set: addressValue(&s.Listen.Local)},
		{section: "listen", key: "peer", required: true, set: addressValue(&s.Listen.Peer)},
		{section: "listen", key: "advertise_peer", set: addressValue(&s.Listen.AdvertisePeer)},
		{section: "listen", key: "admin", set: addressValue(&s.Listen.Admin)},
		{section: "store", key: "url", set: checkedString(&s.Store.URL, checkURL)},
		{section: "store", key: "timeout", defaultValue: "2s", set: durationValue(&s.Store.Timeout, 10*time.Millisecond, time.Minute)},
		{section: "platform", key: "callers", set: addressValue(&s.Platform.Callers)},
		{section: "platform", key: "ready", set: addressValue(&s.Platform.Ready)},
		{section: "platform", key: "backend", set: addressValue(&s.Platform.Backend)},
		{section: "bounds", key: "grace", set: durationValue(&s.Bounds.Grace, 2*time.Second, time.Hour)},
		{section: "bounds", key: "retry_ratio", set: floatValue(&s.Bounds.RetryRatio, 0, 10)},
		{section: "bounds", key: "retry_slack", set: floatValue(&s.Bounds.RetrySlack, 0, 1e6)},
		{section: "bounds", key: "retry_window", defaultValue: "10s", set: durationValue(&s.Bounds.RetryWindow, time.Second, time.Hour)},
		{section: "bounds", key: "revoke", set: durationValue(&s.Bounds.Revoke, minRevoke, time.Hour)},
		{section: "bounds", key: "revoke_fail_closed", set: trueFalseValue(&s.Bounds.RevokeFailClosed)},
		{section: "bounds", key: "quota_window", defaultValue: "5s", emptyIsDefault: true, set: durationValue(&s.Bounds.QuotaWindow, time.Second, time.Minute)},
		{section: "bounds", key: "quota_over", defaultValue: "0.1", emptyIsDefault: true, set: floatValue(&s.Bounds.QuotaOver, 0, 10)},
		{section: "bounds", key: "quota_slack", defaultValue: "20", emptyIsDefault: true, set: floatValue(&s.Bounds.QuotaSlack, 0, 1e6)},
		{section: "admin", key: "credentials", set: credentialsValue(&s.Admin.Credentials)},
		{section: "admin", key: "admins", set: listValue(&s.Admin.Admins)},
		{section: "backend", key: "shed_header", defaultValue: "X-Shed", set: stringValue(&s.Backend.ShedHeader), allowEmpty: true},
		{section: "backend", key: "trust_slots", defaultValue: "no", set: boolValue(&s.Backend.TrustSlots)},
		{section: "backend", key: "trust_pace", defaultValue: "no", set: boolValue(&s.Backend.TrustPace)},
		{section: "backend", key: "announce_ttl", defaultValue: "3s", set: durationValue(&s.Backend.AnnounceTTL, 100*time.Millisecond, 5*time.Minute)},
		{section: "backend", key: "drain_timeout", defaultValue: "30s", set: durationValue(&s.Backend.DrainTimeout, time.Second, 10*time.Minute)},
		{section: "limits", key: "max_request_bytes", defaultValue: "1048576", set: intValue(&s.Limits.MaxRequestBytes, 0, 1<<30)},
		{section: "limits", key: "body_memory_bytes", defaultValue: "0", set: intValue(&s.Limits.BodyMemoryBytes, 0, 1<<40)},
		{section: "limits", key: "head_memory_bytes", defaultValue: "0", set: intValue(&s.Limits.HeadMemoryBytes, 0, 1<<40)},
		{section: "limits", key: "descriptors", defaultValue: "0", emptyIsDefault: true, set: intValue(&s.Limits.Descriptors, 0, 1<<30)},
		{section: "limits", key: "buffer_bytes", defaultValue: "262144", set: intValue(&s.Limits.BufferBytes, 0, 1<<30)},
		{section: "log", key: "path", set: stringValue(&s.Log.Path)},
		{section: "log", key: "level", defaultValue: "info", set: enumValue(&s.Log.Level, "debug", "info", "warn", "error")},
		{section: "log", key: "sample", defaultValue: "1", set: intValue(&s.Log.Sample, 1, 1<<20)},
		{section: "log", key: "buffer", defaultValue: "8192", set: intValue(&s.Log.Buffer, 1, 1<<20)},
	}
}

// stringValue and the other functions of this form return the set function of a field.
// It stores the parsed value in dst, or returns what is wrong with the value and the
// remedy.
func stringValue(dst *string) func(string) error {
	return checkedString(dst, func(string) error { return nil })
}

func checkedString(dst *string, check func(string) error) func(string) error {
	return func(v string) error {
		*dst = v
		return check(v)
	}
}

func addressValue(dst *string) func(string) error { return checkedString(dst, checkAddress) }

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("is not a host:port address; write it as 10.0.0.1:7001")
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("has no IP address as its host; write it as 10.0.0.1:7001")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return fmt.Errorf("has no valid port; use 1 to 65535")
	}
	return nil
}

func boolValue(dst *bool) func(string) error {
	return func(v string) error {
		*dst = v == "yes"
		if v != "yes" && v != "no" {
			return fmt.Errorf("is not a valid value; use yes or no")
		}
		return nil
	}
}

// trueFalseValue is boolValue for settings that the platform writes as true or false.
func trueFalseValue(dst *bool) func(string) error {
	return func(v string) error {
		*dst = v == "true"
		if v != "true" && v != "false" {
			return fmt.Errorf("is not a valid value; use true or false")
		}
		return nil
	}
}

func credentialsValue(dst *map[string]string) func(string) error {
	return func(v string) error {
		*dst = map[string]string{}
		for _, c := range splitList(v) {
			name, token, ok := strings.Cut(c, ":")
			if !ok || name == "" || token == "" {
				return fmt.Errorf("has an entry without a name or token; write name:token, separated by commas")
			}
			(*dst)[name] = token
		}
		return nil
	}
}

func durationValue(dst *time.Duration, low, high time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("is not a duration; write it as 500ms or 2s")
		}
		if d < low || d > high {
			return fmt.Errorf("is out of range; use %v to %v", low, high)
		}
		*dst = d
		return nil
	}
}

func floatValue(dst *float64, low, high float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= low && n <= high) {
			return fmt.Errorf("is not a number in range; use %v to %v", low, high)
		}
		*dst = n
		return nil
	}
}

func intValue(dst *int, low, high int) func(string) error {
	return func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return fmt.Errorf("is not an integer in range; use %d to %d", low, high)
		}
		*dst = n
		return nil
	}
}

func enumValue(dst *string, allowed ...string) func(string) error {
	return checkedString(dst, func(v string) error {
		if !slices.Contains(allowed, v) {
			return fmt.Errorf("is not a valid value; use one of %s", strings.Join(allowed, ", "))
		}
		return nil
	})
}

func listValue(dst *[]string) func(string) error {
	return func(v string) error {
		*dst = splitList(v)
		return nil
	}
}

func splitList(v string) []string {
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
