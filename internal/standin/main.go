// Command standin serves what nodes on one machine depend on: a platform stand-in
// and one sample backend server for each node. It writes a settings file for each
// node, so that each can run in its own process:
//
//	go run ./internal/standin -dir DIR &
//	agatekeel node --settings DIR/recipe-book-derby.json
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/settings"
	"github.com/agatekeel/agatekeel/store/storetest"
)

func main() {
	dir := flag.String("dir", "", "directory to which the settings files are written")
	platform := flag.String("platform", "127.0.0.1:8082", "address of the platform stand-in")
	port := flag.Int("port", 9100, "first port of the nodes; each node uses four consecutive ports")
	flag.Parse()
	if err := run(*dir, *platform, *port); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(dir, platform string, port int) error {
	l, err := net.Listen("tcp", platform)
	if err != nil {
		return fmt.Errorf("listen for platform stand-in: %w", err)
	}
	server := &http.Server{Handler: storetest.Handler(storetest.NewStore()), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	dataCentres := []string{"derby", "leicester"}
	for _, service := range []string{"recipe-book", "orders", "print-room", "scaler"} {
		for _, dc := range dataCentres {
			name := service + "-" + dc
			backend, err := sample.Start(service, name)
			if err != nil {
				return err
			}
			address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", port+i) }
			s := settings.Settings{
				Node: name, DataCentre: dc, DataCentres: dataCentres, Platform: "http://" + l.Addr().String(),
				Listen:  settings.Listen{Callers: address(0), Hop: address(1), Peer: address(2), Admin: address(3)},
				Backend: settings.Backend{Service: service, Address: backend.Address(), Slots: 6, Connections: 130},
			}
			port += 4
			if err := write(filepath.Join(dir, name+".json"), s); err != nil {
				return err
			}
			fmt.Println(name, s.Listen.Callers, s.Listen.Admin)
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return nil
}

// write checks the settings of a node and writes them to a file.
func write(file string, s settings.Settings) error {
	if err := settings.Check(file, s); err != nil {
		return err
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
