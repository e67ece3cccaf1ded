package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// readPages returns the Markdown pages of the repository by path. It changes the
// working directory of the test to the root of the repository.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	t.Chdir("../..")
	out := map[string]string{}
	for _, pattern := range []string{"*.md", "examples/*.md", "docs/*.md", "docs/*/*.md"} {
		files, err := filepath.Glob(pattern)
		is.New(t).NoErr(err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			out[file] = string(text)
		}
	}
	return out
}

// commandLine matches a line of an indented code block that runs the binary.
var commandLine = regexp.MustCompile(`(?m)^ {4,}(?:go run \./cmd/agatekeel|agatekeel) ([a-z].*)$`)

// placeholder matches a word in capitals that the reader has to replace.
var placeholder = regexp.MustCompile(`\b[A-Z]{2,}\b`)

func TestCommandsOnPages(t *testing.T) {
	found := 0
	all := readPages(t)
	m := startDevAt(t, "examples/recipes")
	t.Setenv("AGATEKEEL_PLATFORM", m.platform)
	t.Setenv("AGATEKEEL_ADMIN", m.listeners[0].Admin.Addr().String())
	for file, text := range all {
		for _, line := range commandLine.FindAllStringSubmatch(text, -1) {
			found++
			t.Run(file+": "+line[1], func(t *testing.T) {
				is := is.New(t)
				args := strings.Fields(line[1])
				is.NoErr(parseOnly(args))
				if placeholder.MatchString(line[1]) || !isSelfContained(args) {
					return
				}
				code, _, stderr := agatekeel(args...)
				is.Equal(stderr, "")
				is.Equal(code, exitOK)
			})
		}
	}
	is.New(t).True(found > 10)
}

// isSelfContained reports whether a command ends by itself and needs only the files
// of the repository and a running mesh.
func isSelfContained(args []string) bool {
	switch args[0] {
	case "dev", "load":
		return false
	case "node":
		return strings.Contains(strings.Join(args, " "), "--check-settings")
	}
	for _, arg := range args {
		if strings.HasSuffix(arg, ".json") && !strings.HasPrefix(arg, "examples/") {
			return false // a file that the reader writes
		}
		if strings.HasPrefix(arg, "127.0.0.1:") {
			return false // the address of another process
		}
	}
	return true
}

// link matches a link to a file.
var link = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

func TestPageLinksResolve(t *testing.T) {
	for file, text := range readPages(t) {
		if strings.Contains(text, "\n<<<<<<< ") || strings.Contains(text, "\n>>>>>>> ") {
			t.Errorf("%s: contains merge conflict markers", file)
		}
		for _, l := range link.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(file), l[1])); err != nil {
				t.Errorf("%s: link to %s: %v", file, l[1], err)
			}
		}
	}
}

var (
	testName = regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z]+)`")
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z]+)\(`)
)

func TestPromisesNameExistingTests(t *testing.T) {
	is := is.New(t)
	text := readPages(t)[filepath.Join("docs", "PROMISES.md")]
	existing := map[string]bool{}
	err := filepath.WalkDir(".", func(file string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(file, "_test.go") {
			return err
		}
		source, err := os.ReadFile(file)
		for _, f := range testFunc.FindAllStringSubmatch(string(source), -1) {
			existing[f[1]] = true
		}
		return err
	})
	is.NoErr(err)
	names := testName.FindAllStringSubmatch(text, -1)
	is.True(len(names) > 0)
	for _, name := range names {
		if !existing[name[1]] {
			t.Errorf("docs/PROMISES.md names %s, which does not exist", name[1])
		}
	}
}
