package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// drainMS is the bound drain_ms of the pages' deployments.
const drainMS = 2000

// node is one process of the project, on a loopback address of its own.
type node struct {
	name, zone, service, ip     string
	dir                         string
	inbound, outbound           string
	readiness, control, appAddr string
	internalPort                int
	store                       *store
	process                     *exec.Cmd
	ended                       chan struct{} // closed once the process has ended
}

// network is the beginning of the loopback addresses of this run.
var network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))

// newNode prepares a node on the address with the given last byte.
func newNode(dir string, st *store, last int, service, zone string) (*node, error) {
	n := &node{name: fmt.Sprintf("sidecar-%s-%d", zone, last), zone: zone, service: service, dir: dir, store: st}
	n.ip = fmt.Sprintf("%s.%d", network, last)
	var err error
	for _, address := range []*string{&n.inbound, &n.outbound, &n.readiness, &n.control, &n.appAddr} {
		if *address, err = freeAddress(n.ip); err != nil {
			return nil, err
		}
	}
	internal, err := freeAddress(n.ip)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Sscanf(internal[len(n.ip)+1:], "%d", &n.internalPort)
	return n, err
}

// freeAddress returns an address of an IP address with a port that is free now.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

const settingsText = `node_name = %q
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "midlands"
internal_ports = [%d,%d]
seed_nodes = []
first_start = %v
in_tolerance = false
discovery = "local"
entry = "local"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","platform"]
bounds = ["seed_lag_s=3","addr_reuse_s=2","stability_window_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","rollback_slack_ms=250","outer_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_slack=64","recovery_s=15"]
app_addr = %q
service = %q
[zones]
mid-a = "midlands"
mid-b = "midlands"
[listen]
inbound = %q
outbound = %q
readiness = %q
control = %q
[limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = 134
max_fds = 4100
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

// start starts the process with the command of the deploy file.
func (n *node) start(first bool) error {
	file := filepath.Join(n.dir, n.name+".toml")
	text := fmt.Sprintf(settingsText, n.name, n.ip, n.zone, n.internalPort, n.internalPort, first, n.appAddr, n.service,
		n.inbound, n.outbound, n.readiness, n.control, n.store.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	n.process = exec.Command("target/agatekeel", "sidecar")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "LANG=C", "AGATEKEEL_SETTINGS=" + file}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		_ = log.Close()
		close(ended)
	}(n.process, n.ended)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// ready reports whether the readiness check is answered with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until nodes are ready.
func awaitReady(limit time.Duration, nodes ...*node) error {
	end := time.Now().Add(limit)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
