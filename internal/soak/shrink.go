package soak

import "slices"

// Shrink returns a schedule with as few faults as it can find in tries runs that still fails.
func Shrink(s Schedule, tries int, fails func(Schedule) bool) Schedule {
	for size := (len(s.Faults) + 1) / 2; size > 0 && tries > 0; {
		smaller := false
		for at := 0; at < len(s.Faults) && tries > 0; {
			candidate := s
			candidate.Faults = slices.Delete(slices.Clone(s.Faults), at, min(at+size, len(s.Faults)))
			tries--
			if fails(candidate) {
				s, smaller = candidate, true
			} else {
				at += size
			}
		}
		if !smaller || size > 1 {
			size /= 2
		}
	}
	return s
}
