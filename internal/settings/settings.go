// Package settings reads the JSON settings of a process and reports everything wrong with them at once.
package settings

import (
	"encoding/json"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/carobstile/carobstile/internal/findings"
	"github.com/cockroachdb/errors"
)

// Checker is implemented by settings with rules beyond their JSON types.
type Checker interface {
	// Check adds what is wrong to the list, by JSON Pointer.
	Check(list *findings.List)
}

// Load reads the file at path into out, which points to a struct that implements Checker. The error holds all findings
// with pointer, line and column.
func Load(path string, out Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrapf(Parse(data, out), "settings %s", path)
}

// Parse is Load for settings already read.
func Parse(data []byte, out Checker) error {
	places, list := findings.Decode(data, out)
	if list.Err() != nil && !fill(data, out) {
		return list.Err()
	}
	checked, all := &findings.List{}, &findings.List{}
	out.Check(checked)
	all.Append(list.Items()...)
	for _, f := range checked.Items() {
		if !covered(f.Pointer, list.Items()) {
			all.Append(f)
		}
	}
	located := &findings.List{}
	located.Append(places.Locate(all.Items())...)
	return located.Err()
}

// fill decodes what can be decoded, so that values of the wrong type do not hide other findings. It returns false when
// the text is no JSON.
func fill(data []byte, out Checker) bool {
	err := json.Unmarshal(data, out)
	return err == nil || errors.As(err, new(*json.UnmarshalTypeError))
}

// covered reports whether a value was refused already; what Check says of its zero value would mislead.
func covered(pointer string, refused []findings.Finding) bool {
	return slices.ContainsFunc(refused, func(f findings.Finding) bool {
		return f.Pointer == pointer || strings.HasPrefix(pointer, f.Pointer+"/")
	})
}

// Address checks that a field holds an IP address and port.
func Address(list *findings.List, pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		list.Add(pointer, "expected an IP address and port such as 127.0.0.1:8080, got %q", value)
	}
}

// Required checks that a field is set.
func Required(list *findings.List, pointer, value string) {
	if value == "" {
		list.Add(pointer, "must be set")
	}
}

// Range checks that a number lies within bounds.
func Range(list *findings.List, pointer string, value, low, high int) {
	if value < low || value > high {
		list.Add(pointer, "must be from %d to %d, got %d", low, high, value)
	}
}
