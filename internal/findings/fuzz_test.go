package findings

import (
	"encoding/json"
	"testing"
)

// Guards against input that makes the decoder panic, accept what encoding/json rejects, or report a position outside
// the document.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"name": "a", "items": [{"count": 1}]}`, `{"name": 3, "name": "b"}`, `{"items": [1, null, {}]}`, `[`, `{"a~/b": 1}`,
		"{\n\"items\": [{\"count\": 1e400}]}", `{"name":"\ud800"}`, ``, `{}{}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got outer
		places, list := Decode(data, &got)
		if list.Err() == nil {
			var check outer
			if err := json.Unmarshal(data, &check); err != nil {
				t.Fatalf("accepted %q: %v", data, err)
			}
		}
		for _, item := range places.Locate(list.Items()) {
			if item.Line < 0 || item.Column < 0 || item.Line > len(data)+1 {
				t.Fatalf("position %d:%d of %q is outside the document", item.Line, item.Column, data)
			}
		}
	})
}
