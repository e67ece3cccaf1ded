package peer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/peer"
)

// testTimeout limits the wait for an expected event.
const testTimeout = 10 * time.Second

// openLink opens a link without TLS and returns both ends of it.
func openLink(t *testing.T, dialler, acceptor *recorder) (dialled, accepted *peer.Link) {
	t.Helper()
	is := is.New(t)
	server := peer.NewTransport(peer.Config{}, acceptor)
	client := peer.NewTransport(peer.Config{}, dialler)
	t.Cleanup(server.Stop)
	t.Cleanup(client.Stop)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	is.NoErr(client.Dial(ctx, serve(t, server), func(l *peer.Link) any {
		dialled = l
		return l
	}))
	return dialled, <-acceptor.accepted
}

// receivedUntilDown returns the number of messages received before the end of
// the link is reported.
func receivedUntilDown(t *testing.T, r *recorder) int {
	t.Helper()
	limit := time.After(testTimeout)
	for n := 0; ; {
		select {
		case <-r.received:
			n++
		case <-r.down:
			return n + len(r.received)
		case <-limit:
			t.Fatal("timeout while waiting for the end of the link")
		}
	}
}

func TestCloseDeliversQueuedMessages(t *testing.T) {
	const messages, rounds = 5, 30
	tests := []struct {
		name     string
		closer   func(dialled, accepted *peer.Link) *peer.Link
		receiver func(dialler, acceptor *recorder) *recorder
	}{
		{
			"closed by the dialler",
			func(dialled, _ *peer.Link) *peer.Link { return dialled },
			func(_, acceptor *recorder) *recorder { return acceptor },
		},
		{
			"closed by the acceptor",
			func(_, accepted *peer.Link) *peer.Link { return accepted },
			func(dialler, _ *recorder) *recorder { return dialler },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for range rounds {
				dialler, acceptor := newRecorder(), newRecorder()
				link := tt.closer(openLink(t, dialler, acceptor))
				for range messages {
					is.NoErr(link.Send(message.Leaving{}))
				}
				link.Close()
				is.Equal(receivedUntilDown(t, tt.receiver(dialler, acceptor)), messages)
				is.True(link.Send(message.Leaving{}) != nil) // the link is closed
			}
		})
	}
}

// TestAcceptorReportsWhyLinkEnded guards against a wrong reason: if the process
// at the dialling end stops, the accepting end must report that, and not that
// it closed the link itself.
func TestAcceptorReportsWhyLinkEnded(t *testing.T) {
	is := is.New(t)
	for range 20 {
		acceptor := newRecorder()
		server, client := peer.NewTransport(peer.Config{}, acceptor), peer.NewTransport(peer.Config{}, newRecorder())
		t.Cleanup(server.Stop)
		ctx, cancel := context.WithCancel(context.Background())
		is.NoErr(client.Dial(ctx, serve(t, server), func(l *peer.Link) any { return l }))
		<-acceptor.accepted
		cancel()
		reason := <-acceptor.down
		if !strings.Contains(reason, "cancel") {
			t.Fatalf("link ended with reason %q, want one that contains \"cancel\"", reason)
		}
		client.Stop()
	}
}
