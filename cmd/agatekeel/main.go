// Command agatekeel distributes configuration to the proxies of a service mesh. It
// is also the proxy itself, which runs beside each backend server.
//
// Exit codes: 0 for success, 1 for a refused or failed operation, 2 for an invalid
// command line.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // a refused or failed operation
	exitUsage  = 2 // an invalid command line
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	parser, err := newParser(console{out: stdout, err: stderr})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "agatekeel:", err)
		return exitFailed
	}
	_, err = parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, "agatekeel:", usage.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "agatekeel:", err)
	return exitFailed
}

func newParser(c console) (*flags.Parser, error) {
	parser := flags.NewNamedParser("agatekeel", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "configuration distribution for a service mesh"
	parser.LongDescription = "Exit codes: 0 success, 1 a refused or failed operation, 2 an invalid command line."
	for _, cmd := range commands(c) {
		if _, err := parser.AddCommand(cmd.name, cmd.short, cmd.long, cmd.data); err != nil {
			return nil, fmt.Errorf("add command %s: %w", cmd.name, err)
		}
	}
	return parser, nil
}

// usageError returns an error that makes run exit with exitUsage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: fmt.Sprintf(format, args...)}
}
