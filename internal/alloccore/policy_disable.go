package alloccore

import (
	"fmt"
	"reflect"
)

// WithRulesDisabled returns the policy with the named rules disabled. A name is the JSON name of a boolean field, or
// "picker=<name>" to select a picker.
func (p Policy) WithRulesDisabled(names []string) (Policy, error) {
	for _, name := range names {
		if !p.disable(name) {
			return p, fmt.Errorf("policy has no rule %q", name)
		}
	}
	return p, nil
}

const pickerPrefix = "picker="

func (p *Policy) disable(name string) bool {
	if len(name) > len(pickerPrefix) && name[:len(pickerPrefix)] == pickerPrefix {
		p.Picker = Picker(name[len(pickerPrefix):])
		return true
	}
	v := reflect.ValueOf(p).Elem()
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("json") == name && v.Field(i).Kind() == reflect.Bool {
			v.Field(i).SetBool(false)
			return true
		}
	}
	return false
}
