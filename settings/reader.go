package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// valueParser parses value and stores it in a field of s. Its error states only the
// problem; the caller adds the location and the allowed values.
type valueParser func(s *Settings, value string) error

// field returns a pointer to the field that holds a key's value.
type field[T any] func(*Settings) *T

func anyText(f field[string]) valueParser {
	return func(s *Settings, value string) error {
		if strings.ContainsRune(value, 0) {
			return fmt.Errorf("%q contains a NUL byte", value)
		}
		*f(s) = value
		return nil
	}
}

func name(f field[string]) valueParser {
	return func(s *Settings, value string) error {
		if !isName(value) {
			return fmt.Errorf("%q is not a valid name", value)
		}
		*f(s) = value
		return nil
	}
}

func isName(value string) bool {
	if value == "" || len(value) > maxNameLength || value[0] < 'a' || value[0] > 'z' {
		return false
	}
	for _, r := range value {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

func address(f field[netip.AddrPort]) valueParser {
	return func(s *Settings, value string) error {
		a, err := parseAddress(value)
		*f(s) = a
		return err
	}
}

func parseAddress(value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP address with a port", value)
	}
	return a, nil
}

func addresses(f field[[]netip.AddrPort]) valueParser {
	return func(s *Settings, value string) error {
		var all []netip.AddrPort
		for part := range strings.SplitSeq(value, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			a, err := parseAddress(part)
			if err != nil {
				return err
			}
			if slices.Contains(all, a) {
				return fmt.Errorf("%q is listed twice", part)
			}
			all = append(all, a)
		}
		*f(s) = all
		return nil
	}
}

func baseURL(f field[string]) valueParser {
	return func(s *Settings, value string) error {
		u, err := url.Parse(value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
			return fmt.Errorf("%q is not a base URL", value)
		}
		if _, err := netip.ParseAddr(u.Hostname()); err != nil {
			return fmt.Errorf("the host of %q is not an IP address", value)
		}
		*f(s) = strings.TrimSuffix(value, "/")
		return nil
	}
}

func duration(f field[time.Duration]) valueParser {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration", value)
		}
		if d < minDuration || d > maxDuration {
			return fmt.Errorf("%v is out of range", d)
		}
		*f(s) = d
		return nil
	}
}

func integer[T int | int64](f field[T], low, high T) valueParser {
	return func(s *Settings, value string) error {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not an integer", value)
		}
		if n < int64(low) || n > int64(high) {
			return fmt.Errorf("%d is out of range", n)
		}
		*f(s) = T(n)
		return nil
	}
}

func oneOf(f field[string], values ...string) valueParser {
	return func(s *Settings, value string) error {
		if !slices.Contains(values, value) {
			return fmt.Errorf("%q is not a known value", value)
		}
		*f(s) = value
		return nil
	}
}
