package config

import (
	"testing"

	"github.com/matryer/is"
)

// TestHealthPathFollowsDelta changes the path of a service's health endpoint in a small change, as
// nodes get it.
func TestHealthPathFollowsDelta(t *testing.T) {
	is := is.New(t)
	service := func(spec string) Object { return Object{Kind: KindService, Name: "s", Spec: []byte(spec)} }
	objects := []Object{service(`{"healthPath":"/one"}`)}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r"} {
		objects = append(objects, Object{Kind: KindService, Name: "other-" + name, Spec: []byte(`{"healthPath":"/other"}`)})
	}
	held := NewSet(1, objects)
	snapshot, faults := Compile(held)
	is.Equal(len(faults), 0)
	is.Equal(snapshot.HealthPath("s"), "/one")
	for version, step := range []struct {
		spec, want string
	}{{`{"healthPath":"/two"}`, "/two"}, {`{}`, ""}, {`{"healthPath":"/three"}`, "/three"}} {
		next := NewSet(uint64(version+2), append([]Object{service(step.spec)}, objects[1:]...))
		delta := Delta{From: held.Version, To: next.Version, Puts: []Object{service(step.spec)}}
		is.True(delta.canCompileIncrementally(len(held.Objects)))
		before := snapshot
		was := before.HealthPath("s")
		snapshot, faults = CompileDelta(before, held, next, delta)
		is.Equal(len(faults), 0)
		is.Equal(snapshot.HealthPath("s"), step.want)
		is.Equal(before.HealthPath("s"), was) // in force until the next one is
		is.Equal(snapshot.HealthPath("other-a"), "/other")
		held = next
	}
	_, faults = Compile(NewSet(9, []Object{service(`{"healthPath":"no-slash"}`)}))
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Field, "healthPath")
}
