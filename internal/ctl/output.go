package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const tablePadding = 2

func (c *cli) json() bool { return c.options.Output == "json" }

func (c *cli) printJSON(v any) error {
	enc := json.NewEncoder(c.env.Stdout)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// pluralize formats a count and a noun, whose plural is formed with "s".
func pluralize(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// printTable prints a table with a title and a header row. Empty cells are printed as "-".
func printTable(w io.Writer, title string, header []string, rows [][]string) error {
	fmt.Fprintf(w, "%s\n", title)
	out := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(out, strings.Join(header, "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if cell == "" {
				row[i] = "-"
			}
		}
		fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	return out.Flush()
}

func writeJSONLine(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}
