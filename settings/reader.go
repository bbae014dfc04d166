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

// reader parses a value into its field. Its error gives the problem only; the
// caller adds the place and what is allowed.
type reader func(s *Settings, value string) error

// field returns the place of a key's value.
type field[T any] func(*Settings) *T

func text(f field[string]) reader {
	return func(s *Settings, value string) error {
		if strings.ContainsRune(value, 0) {
			return fmt.Errorf("%q has a zero byte", value)
		}
		*f(s) = value
		return nil
	}
}

func name(f field[string]) reader {
	return func(s *Settings, value string) error {
		if !isName(value) {
			return fmt.Errorf("%q is not a name", value)
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

func address(f field[netip.AddrPort]) reader {
	return func(s *Settings, value string) error {
		a, err := parseAddress(value)
		*f(s) = a
		return err
	}
}

func parseAddress(value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP number with a port", value)
	}
	return a, nil
}

func addresses(f field[[]netip.AddrPort]) reader {
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
				return fmt.Errorf("%q stands twice", part)
			}
			all = append(all, a)
		}
		*f(s) = all
		return nil
	}
}

func baseURL(f field[string]) reader {
	return func(s *Settings, value string) error {
		u, err := url.Parse(value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
			return fmt.Errorf("%q is not a base URL", value)
		}
		if _, err := netip.ParseAddr(u.Hostname()); err != nil {
			return fmt.Errorf("%q has no IP number", value)
		}
		*f(s) = strings.TrimSuffix(value, "/")
		return nil
	}
}

func duration(f field[time.Duration]) reader {
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

func number[T int | int64](f field[T], low, high T) reader {
	return func(s *Settings, value string) error {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value)
		}
		if n < int64(low) || n > int64(high) {
			return fmt.Errorf("%d is out of range", n)
		}
		*f(s) = T(n)
		return nil
	}
}

func choice(f field[string], values ...string) reader {
	return func(s *Settings, value string) error {
		if !slices.Contains(values, value) {
			return fmt.Errorf("%q is unknown", value)
		}
		*f(s) = value
		return nil
	}
}
