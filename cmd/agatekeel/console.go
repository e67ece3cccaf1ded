package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// console holds the output and the error stream of a command.
type console struct{ out, err io.Writer }

func (c console) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.out, format, args...) }

// notef writes a message that is not part of the result to the error stream.
func (c console) notef(format string, args ...any) { _, _ = fmt.Fprintf(c.err, format, args...) }

// json writes a value as indented JSON.
func (c console) json(v any) error {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// table writes rows with aligned columns.
func (c console) table(rows [][]string) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = io.WriteString(w, "\t")
			}
			_, _ = io.WriteString(w, cell)
		}
		_, _ = io.WriteString(w, "\n")
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

// outputOption is embedded in the commands that can write their result as JSON.
type outputOption struct {
	Output string `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

func (o outputOption) wantsJSON() bool { return o.Output == "json" }
