package crashes

import (
	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
)

// ToMessages converts records to the wire.
func ToMessages(records []Record) []*carobstilev1.CrashRecord {
	out := make([]*carobstilev1.CrashRecord, 0, len(records))
	for _, r := range records {
		out = append(out, &carobstilev1.CrashRecord{
			Fingerprint: []byte(r.Fingerprint), EngineIncarnation: r.Incarnation, MadeMicros: int64(r.Made),
		})
	}
	return out
}

// FromMessages converts records from the wire.
func FromMessages(messages []*carobstilev1.CrashRecord) []Record {
	out := make([]Record, 0, len(messages))
	for _, m := range messages {
		out = append(out, Record{
			Fingerprint: Fingerprint(m.GetFingerprint()), Incarnation: m.GetEngineIncarnation(),
			Made: core.Micros(m.GetMadeMicros()),
		})
	}
	return out
}
