package main

import (
	"net/http"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/settings"
)

// snapshotOf checks the objects of an example and compiles them as a node does.
func snapshotOf(t *testing.T, dir string) *config.Snapshot {
	t.Helper()
	is := is.New(t)
	code, _, stderr := agatekeel("check", filepath.Join("../../examples", dir, "objects"))
	is.Equal(stderr, "")
	is.Equal(code, exitOK)
	src, err := readObjects([]string{filepath.Join("../../examples", dir, "objects")})
	is.NoErr(err)
	snapshot, faults := config.Compile(config.NewSet(1, src.objects))
	is.Equal(len(faults), 0)
	return snapshot
}

func TestExampleDeployments(t *testing.T) {
	tests := []struct {
		dir         string
		dataCentres int
		services    []string
		slots       int
		favour      string
		write       string // path of the non-idempotent request
	}{
		{"hobbard-lyle", 4, []string{"recipe-book", "orders", "print-room", "scaler"}, 6, "convergence", "/orders"},
		{"haenim", 3, []string{"lampbook", "wipeledger", "manualshelf", "roundplan"}, 9, "bytes", "/wipeledger"},
	}
	for _, tt := range tests {
		t.Run(tt.dir, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Load(filepath.Join("../../examples", tt.dir, "node.json"))
			is.NoErr(err)
			is.Equal(len(s.DataCentres), tt.dataCentres)
			is.Equal(s.Backend.Slots, tt.slots)
			is.Equal(s.Backend.Connections, 130)
			is.Equal(s.Distribution.Favour, tt.favour)
			snapshot := snapshotOf(t, tt.dir)
			for _, service := range tt.services {
				is.True(snapshot.HasService(service))
				_, ok := snapshot.Match(http.MethodGet, "", "/"+service+"/1")
				is.True(ok) // each service has a route for GET
			}
			r, ok := snapshot.Match(http.MethodPost, "", tt.write)
			is.True(ok)
			is.True(!r.Policy.IsIdempotent(http.MethodPost))
			is.Equal(r.Policy.IdempotencyKey, config.KeyScopePlatform)
		})
	}
}

func TestHaenimStatusChecksHavePriority(t *testing.T) {
	is := is.New(t)
	snapshot := snapshotOf(t, "haenim")
	for _, service := range []string{"lampbook", "wipeledger", "manualshelf", "roundplan"} {
		r, ok := snapshot.Match(http.MethodGet, "", "/"+service+"/status")
		is.True(ok)
		is.Equal(r.Policy.Priority, config.PriorityStatus)
	}
}
