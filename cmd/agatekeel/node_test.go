package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestNodeReportsAddressInUse(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	file := writeFile(t, "node.json", fmt.Sprintf(`{
		"node": "n", "dataCentre": "derby", "dataCentres": ["derby"], "platform": "http://127.0.0.1:1",
		"listen": {"callers": "127.0.0.1:0", "hop": "127.0.0.1:0", "peer": %q, "admin": "127.0.0.1:0"}
	}`, taken.Addr()))
	code, stdout, stderr := agatekeel("node", "--settings", file, "--check-settings")
	is.Equal(stderr, "")
	is.Equal(code, exitOK)
	is.Equal(stdout, file+": no faults\n")
	code, _, stderr = agatekeel("node", "--settings", file)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr, file+": start node n: settings: listen.peer: listen tcp "))
}

func TestNodeReportsEverySettingsFault(t *testing.T) {
	is := is.New(t)
	file := writeFile(t, "node.json", `{"node": "n", "dataCentre": "york", "dataCentres": ["derby"], "listen": {"pear": "x"}}`)
	code, _, stderr := agatekeel("node", "--settings", file, "--check-settings")
	is.Equal(code, exitFailed)
	for _, want := range []string{"listen.pear: unknown field", `dataCentre: "york" is not one of`, "platform: is missing", "listen.hop: is missing"} {
		is.True(strings.Contains(stderr, file+": "+want)) // one run reports every fault
	}
}

func TestFirstSignalDrainsAndSecondEnds(t *testing.T) {
	is := is.New(t)
	m := startDev(t)
	second := make(chan os.Signal, 1)
	second <- os.Interrupt
	drain(second, m.nodes[0]) // the second signal is already pending, so drain does not wait
	select {
	case <-m.nodes[0].Drained():
		is.Fail() // drained before the minimum time in which other nodes are notified
	default:
	}
	drain(nil, m.nodes...)
	for _, n := range m.nodes {
		<-n.Drained()
		is.Equal(n.Dump().Backend.State, "gone")
	}
}
