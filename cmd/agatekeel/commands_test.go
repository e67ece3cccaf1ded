package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// agatekeel runs one command line in this process and returns its exit code and
// output.
func agatekeel(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = run(args, &out, &err)
	return code, out.String(), err.String()
}

// writeFile writes a file in a new temporary directory and returns its path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestExitCodes(t *testing.T) {
	faultyFile := writeFile(t, "route.json", `{"kind":"Route","name":"x","spec":{"pathPrefix":"/x","service":"gone"}}`)
	tests := []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"help", []string{"--help"}, exitOK, "Exit codes: 0", ""},
		{"version", []string{"version"}, exitOK, "agatekeel ", ""},
		{"version as JSON", []string{"version", "-o", "json"}, exitOK, `"go": "go1.`, ""},
		{"check", []string{"check", "../../examples/recipes"}, exitOK, "13 objects, no faults", ""},
		{"faulty object", []string{"check", faultyFile}, exitFailed, "", `route.json: Route/x: service: service "gone" does not exist`},
		{"faults as JSON", []string{"check", "-o", "json", faultyFile}, exitFailed, `"field": "service"`, ""},
		{"missing file", []string{"check", "none.json"}, exitFailed, "", "none.json"},
		{"no command", nil, exitUsage, "", "specify one command"},
		{"unknown command", []string{"brew"}, exitUsage, "", "brew"},
		{"unknown option", []string{"get", "--everything"}, exitUsage, "", "everything"},
		{"no path", []string{"apply"}, exitUsage, "", "at least one PATH"},
		{"bad platform", []string{"get", "--platform", "127.0.0.1"}, exitUsage, "", "--platform"},
		{"bad key", []string{"apply", "--delete", "orders"}, exitUsage, "", "not of the form Kind/name"},
		{"platform down", []string{"status", "--platform", "http://127.0.0.1:1", "x"}, exitFailed, "", "connection refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("AGATEKEEL_PLATFORM", "http://127.0.0.1:1")
			code, stdout, stderr := agatekeel(tt.args...)
			is.Equal(code, tt.code) // the checks of stdout and stderr follow
			is.True(strings.Contains(stdout, tt.stdout))
			is.True(strings.Contains(stderr, tt.stderr))
			is.Equal(stderr == "", tt.code == exitOK) // every failure gives a reason
		})
	}
}

func TestCommandHelpExamplesParse(t *testing.T) {
	for _, c := range commands(console{}) {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, _ := agatekeel(c.name, "--help")
			is.Equal(code, exitOK)
			is.True(strings.Contains(stdout, "Usage:"))
			_, example, ok := strings.Cut(c.long, "Example: agatekeel ")
			is.True(ok) // the long text ends with an example
			is.NoErr(parseOnly(strings.Fields(example)))
		})
	}
}

// parseOnly parses a command line without executing the command.
func parseOnly(args []string) error {
	parser, err := newParser(console{})
	if err != nil {
		return err
	}
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	_, err = parser.ParseArgs(args)
	return err
}

func TestDuplicateObjectsNameBothFiles(t *testing.T) {
	is := is.New(t)
	object := `{"kind":"Service","name":"orders","spec":{}}`
	a, b := writeFile(t, "a.json", object), writeFile(t, "b.json", object)
	code, _, stderr := agatekeel("check", a, b)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr, b+": Service/orders: name: is defined in "+a+" too"))
}

func TestCommandsAgainstAMesh(t *testing.T) {
	is := is.New(t)
	m := startDev(t)
	t.Setenv("AGATEKEEL_PLATFORM", m.platform)
	admin := m.listeners[0].Admin.Addr().String()

	// The output of get can be edited and applied again.
	code, got, stderr := agatekeel("get", "-o", "json", "Policy/printing")
	is.Equal(stderr, "")
	is.Equal(code, exitOK)
	edited := writeFile(t, "edited.json", strings.Replace(got, "20000", "15000", 1))
	code, stdout, _ := agatekeel("diff", edited)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, "~ Policy/printing\n    - {"))
	is.Equal(strings.Count(stdout, "\n"), 4) // the old and the new spec are on one line each, whatever their format
	is.True(strings.Contains(stdout, "1 changes against version 1"))
	code, stdout, stderr = agatekeel("apply", "--wait", "--author", "ann", edited)
	is.Equal(stderr, "")
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, "InForce, version 2, on 8 of 8 nodes"))
	id := strings.Fields(stdout)[1] // "submission ID" comes first
	for _, n := range m.nodes {
		is.Equal(n.Dump().ConfigVersion, uint64(2)) // InForce means that every node runs the version
	}

	// A second edit based on version 1 is refused.
	stale := writeFile(t, "stale.json", strings.Replace(got, "20000", "10000", 1))
	code, _, stderr = agatekeel("apply", "--wait", stale)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr, `stale.json: Policy/printing: base: was read at version 1, but "ann" changed it at version 2`))

	// Faulty objects are rejected, with and without --dry-run.
	faulty := writeFile(t, "faulty.json", `{"kind":"Route","name":"x","spec":{"pathPrefix":"/x","service":"gone"}}`)
	for _, args := range [][]string{{"apply", "--wait", faulty}, {"apply", "--dry-run", faulty}} {
		code, _, stderr = agatekeel(args...)
		is.Equal(code, exitFailed)
		is.True(strings.Contains(stderr, `faulty.json: Route/x: service: service "gone" does not exist`))
	}

	// Applying again with the same ID does not submit the objects a second time.
	code, stdout, stderr = agatekeel("apply", "--wait", "--id", id, edited)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stderr, "was already submitted"))
	is.True(strings.Contains(stdout, "InForce, version 2"))

	code, stdout, _ = agatekeel("status", "-o", "json", id)
	is.Equal(code, exitOK)
	var st status.Status
	is.NoErr(json.Unmarshal([]byte(stdout), &st))
	is.Equal(st.Phase, status.InForce)
	code, stdout, _ = agatekeel("status")
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, id))

	code, _, _ = agatekeel("apply", "--wait", "--delete", "Route/scaler")
	is.Equal(code, exitOK)
	code, _, stderr = agatekeel("get", "Route/scaler")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr, "Route/scaler does not exist at version 3"))

	code, stdout, _ = agatekeel("dump", "--admin", admin)
	is.Equal(code, exitOK)
	is.True(json.Valid([]byte(stdout)))
	resp, err := http.Get("http://" + m.listeners[0].Callers.Addr().String() + "/recipe-book/recipes/1")
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestPruneDeletesObjectsNotInFiles(t *testing.T) {
	is := is.New(t)
	service := func(name string) config.Object {
		return config.Object{Kind: config.KindService, Name: name, Spec: json.RawMessage(`{}`)}
	}
	current := config.NewSet(3, []config.Object{service("a"), service("b")})
	src := source{objects: []config.Object{service("a")}, files: map[config.Key]string{service("a").Key(): "f"}}
	sub, err := editOption{Prune: true}.edit("id", "", current, src)
	is.NoErr(err)
	is.Equal(sub.Deletes, []config.Delete{{Key: service("b").Key()}})
}

func TestApplyTimeoutKeepsSubmission(t *testing.T) {
	is := is.New(t)
	m := &mesh{}
	defer m.close()
	is.NoErr(m.servePlatform("127.0.0.1:0")) // without a node there is no publisher
	code, stdout, stderr := agatekeel("apply", "--platform", m.platform, "--wait", "--timeout", "500ms", "../../examples/recipes")
	is.Equal(code, exitFailed)
	is.True(strings.HasPrefix(stdout, "submission "))
	id := strings.Fields(stdout)[1]
	is.True(strings.Contains(stderr, "last seen: Pending"))
	is.True(strings.Contains(stderr, "agatekeel status "+id))
	code, stdout, _ = agatekeel("status", "--platform", m.platform, id)
	is.Equal(code, exitOK)
	is.Equal(stdout, id+" Pending\n") // the submission was stored and waits for a publisher
}

func TestApplyAgainWithSameIDAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	m := &mesh{}
	defer m.close()
	is.NoErr(m.servePlatform("127.0.0.1:0"))
	losesAnswer := func(op, key string) bool { return op == "put" && strings.HasPrefix(key, "submission/") }
	throttled := func(op, key string) bool { return op != "put" && strings.HasPrefix(key, "submission/") }
	apply := func(args ...string) (int, string, string) {
		return agatekeel(append([]string{"apply", "--platform", m.platform, "../../examples/recipes"}, args...)...)
	}

	// The write takes effect, but its answer is lost: the client finds the submission
	// by reading it.
	m.store.SetFaults(storetest.Faults{LoseAnswer: losesAnswer})
	code, stdout, _ := apply("--id", "first")
	is.Equal(code, exitOK)
	is.Equal(stdout, "submission first\nfirst Pending\n")

	// Reading it fails too: the command reports an unknown outcome, and how to find it
	// out.
	m.store.SetFaults(storetest.Faults{LoseAnswer: losesAnswer, Throttle: throttled})
	code, stdout, stderr := apply("--id", "second")
	is.Equal(code, exitFailed)
	is.Equal(stdout, "submission second\n")
	is.True(strings.Contains(stderr, "not known whether the submission was stored"))
	is.True(strings.Contains(stderr, "run the same command with --id second"))
	m.store.SetFaults(storetest.Faults{})
	code, _, stderr = apply("--id", "second")
	is.Equal(code, exitOK)
	is.True(!strings.Contains(stderr, "not known"))
	code, stdout, _ = agatekeel("status", "--platform", m.platform, "second")
	is.Equal(code, exitOK)
	is.Equal(stdout, "second Pending\n")
}
