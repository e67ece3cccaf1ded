package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a host: a node of the project as a process of its own, and a backend server.
type machine struct {
	name, ip, zone, service string
	server                  *upstream
	settings                string
	callers, ready, control string
	store                   string // address at which the machine reaches the store
	process                 *exec.Cmd
	sequence                int
}

// mesh is a small deployment.
type mesh struct {
	dir      string
	program  string // the project's program, as the deploy file builds it
	store    *objectStore
	machines []*machine
	limits   limits
	record   *os.File

	mu   sync.Mutex // guards record
	stop chan struct{}
	done sync.WaitGroup
}

// limits are those of the smallest machines of haenim-mesh.
type limits struct{ memoryMB, fds int }

var haenim = limits{memoryMB: 134, fds: 4100}

// newMesh returns a mesh without machines, whose record is written to a file.
func newMesh(record string) (*mesh, error) {
	program, err := filepath.Abs("target/agatekeel")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	m := &mesh{dir: dir, program: program, limits: haenim, record: f, stop: make(chan struct{})}
	m.store = newStore()
	go func() {
		<-ended
		for _, h := range m.machines {
			h.kill()
		}
		os.Exit(cannotDo)
	}()
	return m, nil
}

// note writes a line to the record.
func (m *mesh) note(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	line := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(m.record, line)
}

// say writes a line to the record and to standard output.
func (m *mesh) say(format string, args ...any) {
	m.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes.
func (m *mesh) close() {
	close(m.stop)
	for _, h := range m.machines {
		h.kill()
	}
	m.done.Wait()
	_ = m.store.server.Close()
	_ = m.record.Close()
	_ = os.RemoveAll(m.dir)
}

// freeIP returns a loopback address whose metrics port is free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "9464"))
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

const settingsText = `node_name = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "gyeongnam"
internal_ports = [%d,%d]
seed_nodes = []
first_start = true
in_tolerance = false
discovery = "local"
entry = "local"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","platform"]
bounds = ["seed_lag_s=3","addr_reuse_s=2","stability_window_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","rollback_slack_ms=250","outer_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_slack=64","recovery_s=15"]
app_addr = %q
service = %q
[zones]
gyeongnam-a = "gyeongnam"
gyeongnam-b = "gyeongnam"
gyeongnam-c = "gyeongnam"
[listen]
inbound = %q
outbound = %q
readiness = %q
control = %q
[limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`

// add adds a machine and starts its node.
func (m *mesh) add(name, zone, service string, slots int, work func(*http.Request) time.Duration) (*machine, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	server, err := newUpstream(ip, "i-"+name, service, slots, work)
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ip, 5)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[i])) }
	h := &machine{
		name: name, ip: ip, zone: zone, service: service, server: server, callers: at(0), ready: at(1), control: at(2),
		settings: filepath.Join(m.dir, name+".toml"),
	}
	if h.store, err = m.store.listen(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsText, name, ip, zone, ports[3], ports[3], server.address(), service, at(4), h.callers, h.ready, h.control,
		m.limits.memoryMB, m.limits.fds, h.store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m.machines = append(m.machines, h)
	m.done.Go(func() { m.beat(h) })
	return h, m.start(h)
}

// start starts the node of a machine, as the deploy file does.
func (m *mesh) start(h *machine) error {
	out, err := os.OpenFile(filepath.Join(m.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	h.process = exec.Command(m.program, "sidecar")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AGATEKEEL_SETTINGS=" + h.settings}
	h.process.Stdout, h.process.Stderr = out, out
	return h.process.Start()
}

// kill ends the node of a machine.
func (h *machine) kill() {
	if h.process != nil && h.process.Process != nil {
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
	}
}

// beat sends the heartbeats of a machine's backend server.
func (m *mesh) beat(h *machine) {
	client := &http.Client{Timeout: time.Second}
	for wait := 200 * time.Millisecond; ; {
		h.sequence++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
			h.service, h.server.address(), h.zone, cap(h.server.slots), h.sequence, h.server.born)
		resp, err := client.Post("http://"+h.control+"/api/instances/"+h.server.id+"/heartbeat", "application/json", strings.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			wait = 1500 * time.Millisecond
		}
		select {
		case <-m.stop:
			return
		case <-time.After(wait):
		}
	}
}

// awaitReady waits until the nodes of all machines are ready.
func (m *mesh) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range m.machines {
			resp, err := client.Get("http://" + h.ready + "/api/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(m.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready after 20 s")
}

// client is a caller with one kept connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, in: bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer.
func (c *client) do(method, path, id string, deadline time.Duration) (status int, body string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 5\r\n"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, path, id, deadline.Milliseconds(), length)
	if method == http.MethodPost {
		head += "order"
	}
	if _, err := io.WriteString(c.conn, head); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// haenimConfig has routes, services and limits like those of haenim-mesh.
const haenimConfig = `{"version":"r7","resources":[
{"type":"routes","metadata":{"name":"r-look"},"spec":{"host":"shop.example","prefix":"/lamps/","kind":"safe","timeout_ms":1200,"target_latency_ms":400,"priority":2,"service":"lampbook","max_attempts":2}},
{"type":"routes","metadata":{"name":"r-wipe"},"spec":{"host":"shop.example","prefix":"/wipes/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":500,"priority":1,"service":"wipeledger","max_attempts":2}},
{"type":"routes","metadata":{"name":"r-book"},"spec":{"host":"shop.example","prefix":"/manuals/","kind":"download","target_latency_ms":400,"priority":2,"service":"manualshelf","max_attempts":2}},
{"type":"services","metadata":{"name":"manualshelf"},"spec":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},
{"type":"services","metadata":{"name":"lampbook"},"spec":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},
{"type":"services","metadata":{"name":"wipeledger"},"spec":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`

// placed is where a machine stands and the service of its backend server.
type placed struct{ zone, service string }

// newHaenim returns a mesh of six machines like those of haenim-mesh, once it serves requests.
func newHaenim(record string, work func(*http.Request) time.Duration) (*mesh, error) {
	return newMeshOf(record, work, []placed{
		{"gyeongnam-a", "lampbook"}, {"gyeongnam-b", "lampbook"}, {"gyeongnam-a", "wipeledger"},
		{"gyeongnam-b", "wipeledger"}, {"gyeongnam-a", "manualshelf"}, {"gyeongnam-b", "manualshelf"},
	})
}

// newMeshOf returns a mesh of some machines, once it serves requests.
func newMeshOf(record string, work func(*http.Request) time.Duration, machines []placed) (*mesh, error) {
	m, err := newMesh(record)
	if err != nil {
		return nil, err
	}
	m.store.configure(haenimConfig)
	for i, at := range machines {
		if _, err := m.add(fmt.Sprintf("sidecar-%d-%s", i, at.service), at.zone, at.service, 9, work); err != nil {
			m.close()
			return nil, err
		}
	}
	if err := m.awaitReady(); err != nil {
		m.close()
		return nil, err
	}
	time.Sleep(4 * time.Second) // longer than stability_window_ms: all nodes are in touch
	return m, nil
}
