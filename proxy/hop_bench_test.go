package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// hopCallers is the number of concurrent callers.
const hopCallers = 16

// hopHeaders are header names as in a typical request.
var hopHeaders = []string{
	"Accept", "Accept-Language", "Agatekeel-Attempt", "Agatekeel-Budget-Micros", "Agatekeel-Class", "Content-Type",
	"Cookie", "Request-Id", "User-Agent",
}

// frame returns the content of a gRPC message between nodes: the request line
// and headers in HTTP/1.1 format, so that all compared ways do the same work.
func frame(body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("POST /orders HTTP/1.1\r\nHost: orders\r\n")
	for _, h := range hopHeaders {
		fmt.Fprintf(&b, "%s: some value of ordinary length\r\n", h)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// BenchmarkHop compares ways to send a request of 300 bytes and its response
// from one node to another: HTTP/1.1 over pooled connections, unary gRPC, and
// one gRPC stream per exchange over a single connection.
func BenchmarkHop(b *testing.B) {
	body := bytes.Repeat([]byte("b"), 300)
	for name, open := range map[string]func(*testing.B, []byte) func(){
		"http1": hopHTTP, "grpc-unary": hopUnary, "grpc-stream": hopStream,
	} {
		b.Run(name, func(b *testing.B) {
			call := open(b, body)
			call()
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime()
			var wg sync.WaitGroup
			for range hopCallers {
				wg.Go(func() {
					for range b.N / hopCallers {
						call()
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N)/1000, "cpu-µs/op")
		})
	}
}

func hopHTTP(b *testing.B, body []byte) func() {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(data)
	})}
	l := listenLoopback(b)
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	return func() {
		req, _ := http.NewRequest("POST", "http://"+l.Addr().String()+"/orders", bytes.NewReader(body))
		for _, h := range hopHeaders {
			req.Header[h] = []string{"some value of ordinary length"}
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// hopService starts a gRPC server that echoes every message and returns a
// connection to it.
func hopService(b *testing.B) *grpc.ClientConn {
	server := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, s grpc.ServerStream) error {
		var in wrapperspb.BytesValue
		if err := s.RecvMsg(&in); err != nil {
			return err
		}
		return s.SendMsg(&in)
	}))
	l := listenLoopback(b)
	go func() { _ = server.Serve(l) }()
	b.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

func hopUnary(b *testing.B, body []byte) func() {
	conn := hopService(b)
	return func() {
		var out wrapperspb.BytesValue
		if err := conn.Invoke(context.Background(), "/hop/Call", &wrapperspb.BytesValue{Value: frame(body)}, &out); err != nil {
			b.Error(err)
		}
	}
}

func hopStream(b *testing.B, body []byte) func() {
	conn := hopService(b)
	desc := &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}
	return func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, err := conn.NewStream(ctx, desc, "/hop/Stream")
		if err != nil {
			b.Error(err)
			return
		}
		var out wrapperspb.BytesValue
		if err := s.SendMsg(&wrapperspb.BytesValue{Value: frame(body)}); err != nil {
			b.Error(err)
		}
		_ = s.CloseSend()
		if err := s.RecvMsg(&out); err != nil {
			b.Error(err)
		}
		_ = s.RecvMsg(&out)
	}
}

func listenLoopback(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}
