// Command agatekeel distributes configuration to the proxies of a service
// mesh, and is itself the proxy beside each backend server.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // a refused or failed operation
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("agatekeel", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "configuration distribution for a service mesh"
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "agatekeel:", usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "agatekeel:", err)
	return exitFailed
}

type command struct {
	name, short, long string
	data              any
}

func commands() []command {
	return []command{
		{"dev", "run a whole mesh on this machine", "Runs a platform stand-in, nodes in two data centres and sample backend servers in one process, and applies examples/recipes.\n\nExample: agatekeel dev --listen 127.0.0.1:8080", &devCommand{}},
		{"node", "run one node", "Runs one node until SIGTERM, which drains it.\n\nExample: agatekeel node --settings node.json", &nodeCommand{}},
		{"check", "check objects offline", "Checks objects as the publisher would and prints every fault.\n\nExample: agatekeel check examples/recipes", &checkCommand{}},
		{"apply", "submit objects", "Submits objects as a whole. With --wait it returns when they are in force on every node or rejected.\n\nExample: agatekeel apply --platform http://127.0.0.1:8082 --wait examples/recipes", &applyCommand{}},
		{"status", "show what became of a submission", "Shows the status of one submission.\n\nExample: agatekeel status --platform http://127.0.0.1:8082 ID", &statusCommand{}},
		{"dump", "show a process's whole state", "Prints the state of a process as JSON.\n\nExample: agatekeel dump --admin 127.0.0.1:8081", &dumpCommand{}},
	}
}
