package findings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Count int `json:"count"`
}

type outer struct {
	Name  string  `json:"name"`
	Items []inner `json:"items"`
}

// Guards against reporting only the first of several errors, which forces an operator to fix and resubmit once per
// error.
func TestDecodeReportsAllFindingsWithPositions(t *testing.T) {
	input := "{\n \"name\": 3,\n \"items\": [{\"count\": \"x\"}, {\"cuont\": 1}],\n \"name\": \"a\"\n}"
	var got outer
	_, list := Decode([]byte(input), &got)
	require.EqualError(t, list.Err(), `2:10 /name: expected a string, got 3
3:22 /items/0/count: expected a whole number, got "x"
3:38 /items/1/cuont: unknown field "cuont"
4:10 /name: duplicate key "name"`)
	require.Empty(t, got.Items, "an invalid document must not be decoded in part")
}

// Guards against accepting a truncated document, or one with trailing data, as complete.
func TestDecodeReportsSyntaxErrors(t *testing.T) {
	for input, want := range map[string]string{
		`{"name": "a"`:   "1:13 /: unexpected end of the document",
		`{"name": "a"}}`: "1:14 /: unexpected data after the document",
	} {
		var got outer
		_, list := Decode([]byte(input), &got)
		require.EqualError(t, list.Err(), want, input)
	}
}

// Guards against semantic findings without a line, which operators cannot find in a large document.
func TestLocateUsesNearestEnclosingValue(t *testing.T) {
	var got outer
	places, list := Decode([]byte("{\"items\": [\n  {\"count\": 1}\n]}"), &got)
	require.NoError(t, list.Err())
	located := places.Locate([]Finding{{Pointer: "/items/0/missing", Message: "m"}})
	require.Equal(t, 2, located[0].Line)
	require.Equal(t, 3, located[0].Column)
}
