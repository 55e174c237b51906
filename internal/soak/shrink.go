package soak

import "slices"

// Shrink removes faults from a failing schedule in at most tries runs and returns the smallest schedule found that still fails.
func Shrink(s Schedule, tries int, fails func(Schedule) bool) Schedule {
	for size := (len(s.Faults) + 1) / 2; size > 0 && tries > 0; {
		reduced := false
		for at := 0; at < len(s.Faults) && tries > 0; {
			candidate := s
			candidate.Faults = slices.Delete(slices.Clone(s.Faults), at, min(at+size, len(s.Faults)))
			tries--
			if fails(candidate) {
				s, reduced = candidate, true
			} else {
				at += size
			}
		}
		if !reduced || size > 1 {
			size /= 2
		}
	}
	return s
}
