// Package settings loads the JSON settings of a process and reports all their errors at once.
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

// Checker is implemented by settings that have rules beyond their JSON types.
type Checker interface {
	// Check adds a finding for each violated rule, located by JSON Pointer.
	Check(list *findings.List)
}

// Load decodes the file at path into out and validates it. out points to a struct. The error holds all findings with
// pointer, line and column.
func Load(path string, out Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrapf(Parse(data, out), "settings %s", path)
}

// Parse is like Load for settings that are already in memory.
func Parse(data []byte, out Checker) error {
	positions, list := findings.Decode(data, out)
	if list.Err() != nil && !decodePartially(data, out) {
		return list.Err()
	}
	checked, all := &findings.List{}, &findings.List{}
	out.Check(checked)
	all.Append(list.Items()...)
	for _, f := range checked.Items() {
		if !alreadyReported(f.Pointer, list.Items()) {
			all.Append(f)
		}
	}
	located := &findings.List{}
	located.Append(positions.Locate(all.Items())...)
	return located.Err()
}

// decodePartially decodes the values that have the right type, so that the others do not hide further findings. It
// returns false if the data is not valid JSON.
func decodePartially(data []byte, out Checker) bool {
	err := json.Unmarshal(data, out)
	return err == nil || errors.As(err, new(*json.UnmarshalTypeError))
}

// alreadyReported reports whether decoding rejected the value at pointer or one that encloses it. Check then saw a zero
// value, and its finding would be misleading.
func alreadyReported(pointer string, rejected []findings.Finding) bool {
	return slices.ContainsFunc(rejected, func(f findings.Finding) bool {
		return f.Pointer == pointer || strings.HasPrefix(pointer, f.Pointer+"/")
	})
}

// Address checks that value is an IP address and port.
func Address(list *findings.List, pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		list.Add(pointer, "expected an IP address and port such as 127.0.0.1:8080, got %q", value)
	}
}

// Required checks that value is not empty.
func Required(list *findings.List, pointer, value string) {
	if value == "" {
		list.Add(pointer, "must be set")
	}
}

// Range checks that low <= value <= high.
func Range[T int | float64](list *findings.List, pointer string, value, low, high T) {
	if value < low || value > high {
		list.Add(pointer, "must be from %v to %v, got %v", low, high, value)
	}
}
