package proxy_test

import (
	"hash/crc32"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/anishathalye/porcupine"

	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/internal/testhistory"
)

// violation is one guarantee that was broken.
type violation string

// The guarantees that a history is checked for.
const (
	ranTwice           violation = "a request that may run once ran more often"
	falseNotRun        violation = "a request reported as not-run ran"
	answeredWithoutRun violation = "a request that got a response never ran"
	wrongResponse      violation = "a response belongs to another request"
	truncated          violation = "a response that ended without an error is truncated"
	wrongBody          violation = "a request ran with a different body"
	noOutcome          violation = "a failure has no outcome"
	notLinearizable    violation = "the outcomes are not linearizable"
)

// violations returns the guarantees that a history violates.
func violations(all []*request, runs *sample.Runs) []violation {
	var out []violation
	add := func(v violation, violated bool) {
		if violated && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	for _, q := range all {
		ran := runs.ForID(q.id)
		add(ranTwice, q.once && len(ran) > 1)
		add(falseNotRun, q.outcome == "not-run" && len(ran) > 0)
		for _, r := range ran {
			add(wrongBody, r.BodyChecksum != crc32.ChecksumIEEE(q.body))
		}
		if q.err != nil || q.disconnects && q.status == 0 {
			continue
		}
		if q.status != http.StatusOK {
			add(noOutcome, q.outcome == "" && !strings.Contains(string(q.responseBody), "shedding load"))
			continue
		}
		add(answeredWithoutRun, len(ran) == 0)
		add(wrongResponse, q.responseID != q.id)
		add(truncated, q.checksum != strconv.FormatUint(uint64(crc32.ChecksumIEEE(q.responseBody)), 16))
	}
	add(notLinearizable, !porcupine.CheckOperations(callModel, operations(all, runs)))
	return out
}

// operation is a call as the caller saw it, or one run of it.
type operation struct {
	id   string
	run  bool
	once bool
}

// callState is the state of one request in callModel.
type callState struct {
	runs           int
	reportedNotRun bool // reported to the caller, so it must not run later
}

// callModel defines the valid orders of the calls and runs of one request, each
// at a point in time between its start and end.
var callModel = porcupine.Model{
	Partition: testhistory.PartitionBy(func(op porcupine.Operation) string { return op.Input.(operation).id }),
	Init:      func() any { return callState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(callState), input.(operation)
		if in.run {
			s.runs++
			return !s.reportedNotRun && (!in.once || s.runs == 1), s
		}
		switch output.(string) {
		case "ran":
			return s.runs > 0, s
		case "not-run":
			s.reportedNotRun = true
			return s.runs == 0, s
		}
		return true, s // unknown: it may have run or may still run
	},
}

func operations(all []*request, runs *sample.Runs) []porcupine.Operation {
	var out []porcupine.Operation
	for i, q := range all {
		outcome := q.outcome
		if q.err == nil && q.status == http.StatusOK {
			outcome = "ran"
		}
		out = append(out, porcupine.Operation{
			ClientId: i, Input: operation{id: q.id, once: q.once}, Output: outcome,
			Call: q.started.UnixNano(), Return: q.ended.UnixNano(),
		})
		for _, r := range runs.ForID(q.id) {
			at := r.At.UnixNano()
			out = append(out, porcupine.Operation{
				ClientId: i, Input: operation{id: q.id, run: true, once: q.once}, Output: "", Call: at, Return: at,
			})
		}
	}
	return out
}
