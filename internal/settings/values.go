package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration in ms. In a file it is a string such as "250ms".
type Duration float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("must be a time like 250ms or 2s, not %q", text)
	}
	*d = Duration(float64(parsed) / float64(time.Millisecond))
	return nil
}

// setDefault sets the duration if it is 0.
func (d *Duration) setDefault(ms Duration) {
	if *d == 0 {
		*d = ms
	}
}

// Size is a number of bytes. In a file it is a string such as "64MiB".
type Size int

// maxSize is the largest size that a file may give, in bytes.
const maxSize = 1 << 40

var sizeUnits = []struct {
	name  string
	bytes int
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(string(text), unit.name)
		if !found {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && n >= 0 && n <= maxSize/unit.bytes {
			*s = Size(n * unit.bytes)
			return nil
		}
		break
	}
	return fmt.Errorf("must be a size like 64MiB or 16KiB, not %q", text)
}

// CheckAddress returns an error that starts with the key if the address doesn't have the form host:port.
func CheckAddress(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}
