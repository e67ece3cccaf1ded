package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/settings"
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

// TestRepeatedTerminationCutsDrain guards against requests in flight that are cut because a
// process that drains is asked to end once more.
func TestRepeatedTerminationCutsDrain(t *testing.T) {
	is := is.New(t)
	m := startDev(t)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	drain(signals, m.nodes[0])
	select {
	case <-m.nodes[0].Drained():
	default:
		is.Fail() // the drain was cut short
	}
}

// drainSettings returns the settings of a node that listens on loopback, with a platform at an address.
func drainSettings(platform string, drain settings.Drain) settings.Settings {
	return settings.Settings{
		Node: "n", DataCentre: "derby", DataCentres: []string{"derby"}, Platform: "http://" + platform,
		Listen: settings.Listen{Callers: "127.0.0.1:0", Hop: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Drain:  drain,
		Log:    settings.Log{Level: "error"},
	}
}

// TestSignalDuringStartEndsProcessAtOnce guards against a node that serves already and is
// killed by the signal that should drain it.
func TestSignalDuringStartEndsProcessAtOnce(t *testing.T) {
	is := is.New(t)
	s := drainSettings("127.0.0.1:1", settings.Drain{AtLeast: settings.Duration(time.Millisecond), AtMost: settings.Duration(100 * time.Millisecond)})
	is.NoErr(settings.Check("test", s))
	var running runningNode
	is.NoErr(runNode(func() (r runningNode, err error) {
		running, err = startNode(s)
		is.NoErr(err)
		return running, syscall.Kill(os.Getpid(), syscall.SIGTERM)
	}))
	<-running.node.Drained()
}

// exitTime is the time for which a process may live after drain.atMost before its platform
// kills it.
const exitTime = 700 * time.Millisecond

// TestSilentPlatformDelaysEndOfProcess guards against a process that outlives its grace
// period, since the platform takes its connections and says nothing, or callers are not done.
func TestSilentPlatformDelaysEndOfProcess(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	const atMost = 300 * time.Millisecond
	s := drainSettings(silent.Addr().String(), settings.Drain{AtLeast: settings.Duration(100 * time.Millisecond), AtMost: settings.Duration(atMost)})
	is.NoErr(settings.Check("test", s))
	var stopped time.Time
	is.NoErr(runNode(func() (runningNode, error) {
		running, err := startNode(s)
		is.NoErr(err)
		for _, sent := range []string{"", "GET / HT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"} {
			caller, err := net.Dial("tcp", running.listeners.Callers.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { _ = caller.Close() })
			_, err = caller.Write([]byte(sent))
			is.NoErr(err)
		}
		time.Sleep(100 * time.Millisecond) // the node is waiting for the platform
		stopped = time.Now()
		return running, syscall.Kill(os.Getpid(), syscall.SIGTERM)
	}))
	took := time.Since(stopped)
	t.Logf("ended after %v", took)
	is.True(took < atMost+exitTime)
}
