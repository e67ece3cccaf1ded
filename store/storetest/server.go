package storetest

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/agatekeel/agatekeel/store"
)

// Handler serves a Store over the HTTP binding that store.Client uses.
func Handler(s store.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.ObjectsPath, func(w http.ResponseWriter, r *http.Request) { get(s, w, r) })
	mux.HandleFunc("PUT "+store.ObjectsPath, func(w http.ResponseWriter, r *http.Request) { put(s, w, r) })
	mux.HandleFunc("DELETE "+store.ObjectsPath, func(w http.ResponseWriter, r *http.Request) {
		err := s.Delete(r.Context(), r.URL.Query().Get("key"), parseNumber(r.Header.Get(store.HeaderIfVersion)))
		writeAnswer(w, struct{}{}, err)
	})
	return mux
}

func get(s store.Store, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case q.Has("key"):
		o, err := s.Get(r.Context(), q.Get("key"))
		writeAnswer(w, o, err)
	case q.Has("after"):
		wait := time.Duration(parseNumber(q.Get("waitMillis"))) * time.Millisecond
		changes, rev, err := s.Watch(r.Context(), q.Get("prefix"), parseNumber(q.Get("after")), wait)
		writeAnswer(w, store.Changes{Revision: rev, Changes: changes}, err)
	default:
		objs, rev, err := s.List(r.Context(), q.Get("prefix"))
		writeAnswer(w, store.Listing{Revision: rev, Objects: objs}, err)
	}
}

func put(s store.Store, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes+1))
	if err != nil {
		writeAnswer(w, nil, store.ErrTooLarge)
		return
	}
	v, err := s.Put(r.Context(), r.URL.Query().Get("key"), data, parseNumber(r.Header.Get(store.HeaderIfVersion)))
	writeAnswer(w, store.Object{Version: v}, err)
}

func parseNumber(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64)
	return n
}

func writeAnswer(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(err error) int {
	for status, known := range map[int]error{
		http.StatusNotFound:              store.ErrNotFound,
		http.StatusConflict:              store.ErrConflict,
		http.StatusRequestEntityTooLarge: store.ErrTooLarge,
		http.StatusTooManyRequests:       store.ErrThrottled,
		http.StatusGone:                  store.ErrCompacted,
	} {
		if errors.Is(err, known) {
			return status
		}
	}
	return http.StatusServiceUnavailable
}
