package peer

import (
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// Encode returns the wire form of a message.
func Encode(m message.Message) (*pb.Frame, error) {
	switch m := m.(type) {
	case message.Hello:
		return &pb.Frame{Body: &pb.Frame_Hello{Hello: &pb.Hello{
			Node: m.Node, DataCentre: m.DataCentre, Peer: m.Peer, Kind: uint32(m.Kind),
			Config: m.Config, ConfigHash: m.ConfigHash, Table: m.Table,
		}}}, nil
	case message.Welcome:
		return &pb.Frame{Body: &pb.Frame_Welcome{Welcome: &pb.Welcome{
			Node: m.Node, DataCentre: m.DataCentre, Path: m.Path, Config: m.Config, Rooted: m.Rooted,
		}}}, nil
	case message.Redirect:
		return &pb.Frame{Body: &pb.Frame_Redirect{Redirect: &pb.Redirect{Peer: m.Peer}}}, nil
	case message.ComeBack:
		return &pb.Frame{Body: &pb.Frame_ComeBack{ComeBack: &pb.ComeBack{AfterMillis: uint64(m.After.Milliseconds())}}}, nil
	case message.Heartbeat:
		return &pb.Frame{Body: &pb.Frame_Heartbeat{Heartbeat: &pb.Heartbeat{
			Path: m.Path, Rooted: m.Rooted, Config: m.Config, Table: m.Table,
		}}}, nil
	case message.ConfigDelta:
		return &pb.Frame{Body: &pb.Frame_ConfigDelta{ConfigDelta: encodeDelta(m.Delta)}}, nil
	case message.ConfigWhole:
		return &pb.Frame{Body: &pb.Frame_ConfigWhole{ConfigWhole: &pb.ConfigWhole{
			Version: m.Version, Hash: m.Hash, Objects: each(m.Objects, encodeObject),
		}}}, nil
	case message.ConfigWanted:
		return &pb.Frame{Body: &pb.Frame_ConfigWanted{ConfigWanted: &pb.ConfigWanted{Have: m.Have}}}, nil
	case message.Endpoints:
		return &pb.Frame{Body: &pb.Frame_Endpoints{Endpoints: &pb.Endpoints{Entries: each(m.Entries, encodeEntry)}}}, nil
	case message.TableWanted:
		return &pb.Frame{Body: &pb.Frame_TableWanted{TableWanted: &pb.TableWanted{}}}, nil
	case message.Report:
		return &pb.Frame{Body: &pb.Frame_Report{Report: encodeReport(m)}}, nil
	}
	return nil, fmt.Errorf("%w: message type %T", ErrFrame, m)
}

// Decode returns the message of a frame.
func Decode(f *pb.Frame) (message.Message, error) {
	switch b := f.GetBody().(type) {
	case *pb.Frame_Hello:
		m := b.Hello
		return message.Hello{
			Node: m.GetNode(), DataCentre: m.GetDataCentre(), Peer: m.GetPeer(), Kind: message.LinkKind(m.GetKind()),
			Config: m.GetConfig(), ConfigHash: m.GetConfigHash(), Table: m.GetTable(),
		}, nil
	case *pb.Frame_Welcome:
		m := b.Welcome
		return message.Welcome{
			Node: m.GetNode(), DataCentre: m.GetDataCentre(), Path: m.GetPath(), Config: m.GetConfig(), Rooted: m.GetRooted(),
		}, nil
	case *pb.Frame_Redirect:
		return message.Redirect{Peer: b.Redirect.GetPeer()}, nil
	case *pb.Frame_ComeBack:
		return message.ComeBack{After: time.Duration(b.ComeBack.GetAfterMillis()) * time.Millisecond}, nil
	case *pb.Frame_Heartbeat:
		m := b.Heartbeat
		return message.Heartbeat{Path: m.GetPath(), Rooted: m.GetRooted(), Config: m.GetConfig(), Table: m.GetTable()}, nil
	case *pb.Frame_ConfigDelta:
		return message.ConfigDelta{Delta: decodeDelta(b.ConfigDelta)}, nil
	case *pb.Frame_ConfigWhole:
		m := b.ConfigWhole
		return message.ConfigWhole{Version: m.GetVersion(), Hash: m.GetHash(), Objects: each(m.GetObjects(), decodeObject)}, nil
	case *pb.Frame_ConfigWanted:
		return message.ConfigWanted{Have: b.ConfigWanted.GetHave()}, nil
	case *pb.Frame_Endpoints:
		return message.Endpoints{Entries: each(b.Endpoints.GetEntries(), decodeEntry)}, nil
	case *pb.Frame_TableWanted:
		return message.TableWanted{}, nil
	case *pb.Frame_Report:
		return decodeReport(b.Report), nil
	}
	return nil, fmt.Errorf("%w: body %T", ErrFrame, f.GetBody())
}

// each applies f to every element.
func each[A, B any](in []A, f func(A) B) []B {
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
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
		From: d.From, To: d.To, Hash: d.Hash, Puts: each(d.Puts, encodeObject),
		Deletes: each(d.Deletes, func(k config.Key) *pb.Key { return &pb.Key{Kind: string(k.Kind), Name: k.Name} }),
	}
}

func decodeDelta(d *pb.ConfigDelta) config.Delta {
	return config.Delta{
		From: d.GetFrom(), To: d.GetTo(), Hash: d.GetHash(), Puts: each(d.GetPuts(), decodeObject),
		Deletes: each(d.GetDeletes(), func(k *pb.Key) config.Key {
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
		DataCentre: r.DataCentre, Applied: r.Applied, Nodes: uint32(r.Nodes),
		Laggards: each(r.Laggards, func(l message.Laggard) *pb.Laggard {
			return &pb.Laggard{Node: l.Node, Applied: l.Applied, Reason: l.Reason}
		}),
	}
}

func decodeReport(r *pb.Report) message.Report {
	return message.Report{
		DataCentre: r.GetDataCentre(), Applied: r.GetApplied(), Nodes: int(r.GetNodes()),
		Laggards: each(r.GetLaggards(), func(l *pb.Laggard) message.Laggard {
			return message.Laggard{Node: l.GetNode(), Applied: l.GetApplied(), Reason: l.GetReason()}
		}),
	}
}
