package main

import (
	"embed"
	"fmt"
	"math"
	"os"
	"strings"
	"text/template"
)

//go:embed *.tmpl
var templates embed.FS

// pageData is the data of the page template.
type pageData struct {
	*Results
	Deployments []Deployment
}

// writePage renders the capacity page from r and writes it to file.
func writePage(file string, r *Results) error {
	t, err := template.New("page.tmpl").Funcs(template.FuncMap{
		"num": formatNumber, "bytes": formatBytes, "percent": formatPercent, "roles": r.roles,
		"slope": func(name string) Slope { return r.byName[name] },
		"at":    r.at, "verdict": verdict, "target": func() Deployment { return deployments()[2] }, "points": formatPoints,
		"ms": func(ns float64) string { return formatNumber(ns / 1e6) }, "us": func(ns float64) string { return formatNumber(ns / 1e3) },
		"mul":    func(a, b float64) float64 { return a * b },
		"micros": func(us int64) float64 { return float64(us) },
		"float":  func(n int) float64 { return float64(n) },
		"limits": func(role Role) string {
			return fmt.Sprintf("core %s, memory %s, bytes %s",
				verdict(role.Core, limitCore), verdict(role.Memory, limitMemory), verdict(role.Bytes, limitBytes))
		},
		"platformLimits": func(role Role) string {
			return fmt.Sprintf("reads %s, writes %s", verdict(role.Reads, limitReads), verdict(role.Writes, limitWrites))
		},
	}).ParseFS(templates, "*.tmpl")
	if err != nil {
		return fmt.Errorf("parse page template: %w", err)
	}
	var b strings.Builder
	if err := t.Execute(&b, pageData{Results: r, Deployments: deployments()}); err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// formatNumber formats a number with about three significant digits.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "not measured"
	case v == 0:
		return "0"
	case a < 0.01:
		return fmt.Sprintf("%.2g", v)
	case a < 10:
		return fmt.Sprintf("%.2f", v)
	case a < 100:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.0f", v)
}

func formatBytes(v float64) string {
	switch {
	case math.IsNaN(v):
		return "not measured"
	case math.Abs(v) >= 1<<20:
		return formatNumber(v/(1<<20)) + " MiB"
	case math.Abs(v) >= 10_000:
		return formatNumber(v/1000) + " kB"
	}
	return formatNumber(v) + " B"
}

func formatPercent(v float64) string { return formatNumber(100*v) + " %" }

func formatPoints(points []Point) string {
	parts := make([]string, 0, len(points))
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%s: %s", formatNumber(p.X), formatNumber(p.Y)))
	}
	return strings.Join(parts, "; ")
}
