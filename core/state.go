package core

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// State is the complete state of a node.
type State struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	started time.Time // of the first event
	effects []Effect

	lastCall StoreCallID
	lastLink LinkID
	calls    map[StoreCallID]storeCall
	links    map[LinkID]*link

	member        member
	root          root
	suspects      map[string]suspicion
	lastTick      time.Time
	holder        holder
	publisher     publisher
	source        source
	table         *endpoint.Table
	backend       backend
	leaving       leaving
	platform      platformState
	requests      requests
	quotas        quotas
	requestFaults requestFaults
}

// New returns the State of a newly started node.
func New(cfg Config) *State {
	cfg = cfg.WithDefaults()
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation.Start)))
	s := &State{
		cfg: cfg, rng: rng,
		calls: map[StoreCallID]storeCall{}, links: map[LinkID]*link{},
		table: endpoint.NewTable(), suspects: map[string]suspicion{},
	}
	s.member = newMember(cfg)
	s.root = newRoot(cfg)
	s.holder = newHolder()
	s.publisher = newPublisher(cfg)
	s.backend = newBackend(cfg)
	s.leaving.read = cfg.FirstStart // there is no record to read
	s.requests = newRequests(cfg, balance.New(cfg.balance(), rng))
	s.quotas = newQuotas()
	return s
}

// Reduce processes one event and returns the effects to execute. The
// returned slice is valid until the next call.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	if s.started.IsZero() {
		s.started = now
	}
	s.effects = s.effects[:0]
	switch e := e.(type) {
	case Tick:
		s.tick()
	case StoreDone:
		s.storeDone(e)
	case PlatformRestored:
		s.platformRestored(e.Era)
	case LinkUp:
		s.linkUp(e)
	case LinkDown:
		if e.Refused {
			s.quotaDialRefused(e.Link)
			s.holderRefused(e.Link)
		}
		s.linkDown(e.Link, e.Reason)
	case LinkMessage:
		s.linkMessage(e)
	case BackendProbed:
		s.backendProbed(e)
	case BackendReported:
		s.backendReported(e)
	case BackendDraining:
		s.drainRequested(e)
	case BackendDrainCancelled:
		s.drainTakenBack(e)
	case Stop:
		s.stop()
	case CallArrived:
		s.callArrived(e)
	case AttemptEnded:
		s.attemptEnded(e)
	case CallClosed:
		s.callClosed(e.Call)
	case AttemptArrived:
		s.attemptArrived(e)
	case AttemptDone:
		s.attemptDone(e)
	case RelayBegan:
		s.backend.relays++
	case RelayEnded:
		s.backend.relays--
	case AttemptCancelled:
		s.attemptCancelled(e)
	case BackendAnswered:
		s.backendAnswered(e)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) send(l LinkID, m message.Message) { s.emit(Send{Link: l, Message: m}) }

func (s *State) log(c notice.Code, attrs ...Attr) { s.emit(Log{Code: c, Attrs: attrs}) }

func (s *State) tick() {
	s.storeTick()
	s.linksTick()
	s.sourceTick()
	s.memberTick()
	s.rootTick()
	s.suspectTick()
	s.publisherTick()
	s.leavingTick()
	s.backendTick()
	s.reportTick()
	s.batchTick()
	s.forgetWholeConfig()
	s.lastTick = s.now
	s.claimTick()
	s.quotaTick()
}

// jitter returns a random duration below limit ("full jitter").
func (s *State) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// ConfigVersion returns the configuration version in force on the node.
func (s *State) ConfigVersion() uint64 { return s.configVersion() }

// Stopping reports whether the process is about to end.
func (s *State) Stopping() bool { return s.backend.stopping }

// Ready reports whether the node may serve callers, and the reason if it
// may not.
func (s *State) Ready() (bool, string) {
	switch {
	case s.backend.stopping:
		return false, "draining"
	case s.configVersion() == 0:
		return false, "holds no configuration yet"
	case !s.member.current:
		return false, s.notCurrentReason()
	}
	return true, ""
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("core: a type of our own can't be encoded: " + err.Error())
	}
	return data
}
