// Command standin2 plays the cases of the second review: it starts the project's nodes as separate
// processes on loopback addresses, with stand-ins for the platform, the backend servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	cannotDo = 2
)

func main() {
	cases := map[string]func(record string, trouble bool) (int, error){
		"behind":    lostBehind,
		"turn":      lostTurn,
		"crowd":     crowdedOut,
		"oldclient": changedBody,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(cannotDo)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = cannotDo
	}
	os.Exit(code)
}
