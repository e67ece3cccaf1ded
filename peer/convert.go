package peer

import (
	"fmt"
	"math"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/quota"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// Encode returns the protobuf form of a message.
func Encode(m message.Message) (*pb.Frame, error) {
	switch m := m.(type) {
	case message.Hello:
		return &pb.Frame{Body: &pb.Frame_Hello{Hello: &pb.Hello{
			Node: m.Node, DataCentre: m.DataCentre, Peer: m.Peer, Kind: uint32(m.Kind),
			Config: m.Config, ConfigHash: m.ConfigHash, Table: m.Table, Self: encodeEntry(m.Self),
		}}}, nil
	case message.Welcome:
		return &pb.Frame{Body: &pb.Frame_Welcome{Welcome: &pb.Welcome{
			Node: m.Node, DataCentre: m.DataCentre, Heartbeat: encodeHeartbeat(m.Heartbeat),
		}}}, nil
	case message.Redirect:
		return &pb.Frame{Body: &pb.Frame_Redirect{Redirect: &pb.Redirect{Peer: m.Peer}}}, nil
	case message.ComeBack:
		return &pb.Frame{Body: &pb.Frame_ComeBack{ComeBack: &pb.ComeBack{
			AfterMillis: uint64(m.After.Milliseconds()), Config: m.Config, Below: m.Below,
		}}}, nil
	case message.Heartbeat:
		return &pb.Frame{Body: &pb.Frame_Heartbeat{Heartbeat: encodeHeartbeat(m)}}, nil
	case message.Leaving:
		return &pb.Frame{Body: &pb.Frame_Leaving{Leaving: &pb.Leaving{ReturnsShares: m.ReturnsShares}}}, nil
	case message.Present:
		return &pb.Frame{Body: &pb.Frame_Present{Present: &pb.Present{Nodes: m.Nodes}}}, nil
	case message.ConfigDelta:
		return &pb.Frame{Body: &pb.Frame_ConfigDelta{ConfigDelta: encodeDelta(m.Delta)}}, nil
	case message.ConfigWhole:
		return &pb.Frame{Body: &pb.Frame_ConfigWhole{ConfigWhole: &pb.ConfigWhole{
			Version: m.Version, Hash: m.Hash, Objects: mapSlice(m.Objects, encodeObject),
		}}}, nil
	case message.ConfigWanted:
		return &pb.Frame{Body: &pb.Frame_ConfigWanted{ConfigWanted: &pb.ConfigWanted{Have: m.Have}}}, nil
	case message.Endpoints:
		return &pb.Frame{Body: &pb.Frame_Endpoints{Endpoints: &pb.Endpoints{Entries: mapSlice(m.Entries, encodeEntry)}}}, nil
	case message.TableDigests:
		return &pb.Frame{Body: &pb.Frame_TableDigests{TableDigests: &pb.TableDigests{Digests: m.Digests}}}, nil
	case message.TableBuckets:
		return &pb.Frame{Body: &pb.Frame_TableBuckets{TableBuckets: &pb.TableBuckets{
			Of: uint32(m.Of), Numbers: m.Numbers, Entries: mapSlice(m.Entries, encodeEntry),
		}}}, nil
	case message.Report:
		return &pb.Frame{Body: &pb.Frame_Report{Report: encodeReport(m)}}, nil
	case message.QuotaAsk:
		return &pb.Frame{Body: &pb.Frame_QuotaAsk{QuotaAsk: &pb.QuotaAsk{Number: m.Number, Wants: mapSlice(m.Wants, encodeWant)}}}, nil
	case message.QuotaGrant:
		return &pb.Frame{Body: &pb.Frame_QuotaGrant{QuotaGrant: &pb.QuotaGrant{Number: m.Number, Given: mapSlice(m.Given, encodeGiven)}}}, nil
	}
	return nil, fmt.Errorf("%w: message type %T", ErrFrame, m)
}

// Decode returns the message in a frame.
func Decode(f *pb.Frame) (message.Message, error) {
	switch b := f.GetBody().(type) {
	case *pb.Frame_Hello:
		m := b.Hello
		return message.Hello{
			Node: m.GetNode(), DataCentre: m.GetDataCentre(), Peer: m.GetPeer(), Kind: message.LinkKind(m.GetKind()),
			Config: m.GetConfig(), ConfigHash: m.GetConfigHash(), Table: m.GetTable(), Self: decodeEntry(m.GetSelf()),
		}, nil
	case *pb.Frame_Welcome:
		m := b.Welcome
		return message.Welcome{
			Node: m.GetNode(), DataCentre: m.GetDataCentre(), Heartbeat: decodeHeartbeat(m.GetHeartbeat()),
		}, nil
	case *pb.Frame_Redirect:
		return message.Redirect{Peer: b.Redirect.GetPeer()}, nil
	case *pb.Frame_ComeBack:
		m := b.ComeBack
		return message.ComeBack{
			After: time.Duration(m.GetAfterMillis()) * time.Millisecond, Config: m.GetConfig(), Below: m.GetBelow(),
		}, nil
	case *pb.Frame_Heartbeat:
		return decodeHeartbeat(b.Heartbeat), nil
	case *pb.Frame_Leaving:
		return message.Leaving{ReturnsShares: b.Leaving.GetReturnsShares()}, nil
	case *pb.Frame_Present:
		return message.Present{Nodes: b.Present.GetNodes()}, nil
	case *pb.Frame_Packed:
		return decompress(b.Packed)
	case *pb.Frame_ConfigDelta:
		return message.ConfigDelta{Delta: decodeDelta(b.ConfigDelta)}, nil
	case *pb.Frame_ConfigWhole:
		m := b.ConfigWhole
		return message.ConfigWhole{Version: m.GetVersion(), Hash: m.GetHash(), Objects: mapSlice(m.GetObjects(), decodeObject)}, nil
	case *pb.Frame_ConfigWanted:
		return message.ConfigWanted{Have: b.ConfigWanted.GetHave()}, nil
	case *pb.Frame_Endpoints:
		return message.Endpoints{Entries: mapSlice(b.Endpoints.GetEntries(), decodeEntry)}, nil
	case *pb.Frame_TableDigests:
		return message.TableDigests{Digests: b.TableDigests.GetDigests()}, nil
	case *pb.Frame_TableBuckets:
		m := b.TableBuckets
		return message.TableBuckets{Of: int(m.GetOf()), Numbers: m.GetNumbers(), Entries: mapSlice(m.GetEntries(), decodeEntry)}, nil
	case *pb.Frame_Report:
		return decodeReport(b.Report), nil
	case *pb.Frame_QuotaAsk:
		return message.QuotaAsk{Ask: quota.Ask{Number: b.QuotaAsk.GetNumber(), Wants: mapSlice(b.QuotaAsk.GetWants(), decodeWant)}}, nil
	case *pb.Frame_QuotaGrant:
		return message.QuotaGrant{Grant: quota.Grant{Number: b.QuotaGrant.GetNumber(), Given: mapSlice(b.QuotaGrant.GetGiven(), decodeGiven)}}, nil
	}
	return nil, fmt.Errorf("%w: body %T", ErrFrame, f.GetBody())
}

// mapSlice returns the results of f for all elements of in.
func mapSlice[A, B any](in []A, f func(A) B) []B {
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}

func encodeHeartbeat(m message.Heartbeat) *pb.Heartbeat {
	out := &pb.Heartbeat{
		SourceAgeMillis: encodeAge(m.Source),
		Same:            m.Same, Path: m.Path, Rooted: m.Rooted, Config: m.Config, Newest: m.Newest, Table: m.Table, Census: m.Census, Restored: m.Restored,
	}
	encodeQuotaHeartbeat(m.Quota, out)
	return out
}

// encodeAge rounds up, so that an age never appears smaller than it is.
func encodeAge(a *message.Age) *uint32 {
	if a == nil {
		return nil
	}
	millis := (time.Duration(*a) + time.Millisecond - 1) / time.Millisecond
	n := uint32(max(0, min(millis, math.MaxUint32)))
	return &n
}

func decodeAge(n *uint32) *message.Age {
	if n == nil {
		return nil
	}
	a := message.Age(time.Duration(*n) * time.Millisecond)
	return &a
}

// decodeHeartbeat returns the zero Heartbeat for nil: a Welcome may lack it.
func decodeHeartbeat(m *pb.Heartbeat) message.Heartbeat {
	if m == nil {
		return message.Heartbeat{}
	}
	return message.Heartbeat{
		Quota:  decodeQuotaHeartbeat(m),
		Source: decodeAge(m.SourceAgeMillis),
		Same:   m.GetSame(), Path: m.GetPath(), Rooted: m.GetRooted(), Config: m.GetConfig(), Newest: m.GetNewest(),
		Table: m.GetTable(), Census: m.GetCensus(), Restored: m.GetRestored(),
	}
}

func encodeObject(o config.Object) *pb.Object {
	return &pb.Object{Kind: string(o.Kind), Name: o.Name, Version: o.Version, Author: o.Author, Spec: o.Spec}
}

func decodeObject(o *pb.Object) config.Object {
	return config.Object{
		Kind: config.Kind(o.GetKind()), Name: o.GetName(), Version: o.GetVersion(), Author: o.GetAuthor(), Spec: o.GetSpec(),
	}
}

func encodeDelta(d config.Delta) *pb.ConfigDelta {
	return &pb.ConfigDelta{
		From: d.From, To: d.To, Hash: d.Hash, Puts: mapSlice(d.Puts, encodeObject),
		Deletes: mapSlice(d.Deletes, func(k config.Key) *pb.Key { return &pb.Key{Kind: string(k.Kind), Name: k.Name} }),
	}
}

func decodeDelta(d *pb.ConfigDelta) config.Delta {
	return config.Delta{
		From: d.GetFrom(), To: d.GetTo(), Hash: d.GetHash(), Puts: mapSlice(d.GetPuts(), decodeObject),
		Deletes: mapSlice(d.GetDeletes(), func(k *pb.Key) config.Key {
			return config.Key{Kind: config.Kind(k.GetKind()), Name: k.GetName()}
		}),
	}
}

func encodeEntry(e endpoint.Entry) *pb.Entry {
	return &pb.Entry{
		Id: e.ID, Service: e.Service, DataCentre: e.DataCentre, Peer: e.Peer, Hop: e.Hop,
		StartMillis: e.Incarnation.Start, Random: e.Incarnation.Random,
		Sequence: e.Sequence, Suspect: e.Suspect, State: uint32(e.State), Slots: uint32(e.Slots),
	}
}

func decodeEntry(e *pb.Entry) endpoint.Entry {
	return endpoint.Entry{
		ID: e.GetId(), Service: e.GetService(), DataCentre: e.GetDataCentre(), Peer: e.GetPeer(), Hop: e.GetHop(),
		Incarnation: endpoint.Incarnation{Start: e.GetStartMillis(), Random: e.GetRandom()},
		Sequence:    e.GetSequence(), Suspect: e.GetSuspect(), State: endpoint.State(e.GetState()), Slots: int(e.GetSlots()),
	}
}

func encodeReport(r message.Report) *pb.Report {
	return &pb.Report{
		DataCentre: r.DataCentre, Applied: r.Applied, Nodes: uint32(r.Nodes), Missing: uint32(r.Missing),
		Laggards: mapSlice(r.Laggards, func(l message.Laggard) *pb.Laggard {
			return &pb.Laggard{Node: l.Node, Applied: l.Applied, Reason: l.Reason}
		}),
	}
}

func decodeReport(r *pb.Report) message.Report {
	return message.Report{
		DataCentre: r.GetDataCentre(), Applied: r.GetApplied(), Nodes: int(r.GetNodes()), Missing: int(r.GetMissing()),
		Laggards: mapSlice(r.GetLaggards(), func(l *pb.Laggard) message.Laggard {
			return message.Laggard{Node: l.GetNode(), Applied: l.GetApplied(), Reason: l.GetReason()}
		}),
	}
}
