package peer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

// envelopes returns one envelope for each kind of message. Its fields are not zero,
// except Version and Next of the values.
func envelopes() []quorum.Envelope {
	inc := quorum.Incarnation{Number: 3, Nonce: 1 << 63}
	ballot := quorum.Ballot{Round: 7, Host: "a", Incarnation: inc}
	value := quorum.Value{
		Versioned: spec.Versioned{Name: "x", Revision: 2, Deleted: true, Body: []byte(`{"a":1}`)},
		Operator:  "anna", At: time.Unix(1, 2).UTC(), Requests: []quorum.Request{{ID: "r", Revision: 2, Digest: "d"}},
	}
	incarnations := quorum.Incarnations{"a": inc, "b": {Number: 1, Nonce: 2}}
	register := quorum.Register{Name: "x", Promised: ballot, Accepted: ballot, Value: value}
	messages := []quorum.Message{
		&quorum.Prepare{Name: "x", Ballot: ballot, Version: 4},
		&quorum.Promise{Name: "x", Ballot: ballot, OK: true, Promised: ballot, Accepted: ballot, Value: value},
		&quorum.Accept{Ballot: ballot, Value: value},
		&quorum.Accepted{Name: "x", Ballot: ballot, OK: true, Promised: ballot},
		&quorum.Query{Name: "x", Ticket: 5},
		&quorum.Answer{Name: "x", Ticket: 5, Accepted: ballot, Value: value},
		&quorum.Learn{Value: value},
		&quorum.Fetch{Sequence: 4, Digest: 9, Listed: true, Learnt: []quorum.LearntRevision{{Name: "x", Revision: 2}}},
		&quorum.Values{Sequence: 4, Differ: true, Values: []quorum.Value{value}},
		&quorum.Recover{Round: 6},
		&quorum.Snapshot{
			Requester: inc, Round: 6, Stage: quorum.StageVoting, Registers: []quorum.Register{register},
			Learnt: []quorum.Value{value}, Founders: incarnations,
		},
	}
	var list []quorum.Envelope
	for _, m := range messages {
		list = append(list, quorum.Envelope{From: "a", To: "b", Incarnation: inc, ClusterDigest: 8, Known: incarnations, Message: m})
	}
	return list
}

func TestEnvelopeRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, e := range envelopes() {
		back, err := peer.ToEnvelope(peer.FromEnvelope(e))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(back).To(gomega.Equal(e))
	}
	outside := quorum.Envelope{Message: &quorum.Prepare{Name: "../outside"}}
	_, err := peer.ToEnvelope(peer.FromEnvelope(outside))
	g.Expect(err).To(gomega.MatchError(peer.ErrInvalidName))
	_, err = peer.ToEnvelope(&peerpb.Envelope{})
	g.Expect(err).To(gomega.MatchError(peer.ErrUnknownMessage))
}

// FuzzEnvelope checks that any input that ToEnvelope accepts yields an envelope that
// survives a round trip.
func FuzzEnvelope(f *testing.F) {
	for _, e := range envelopes() {
		data, err := proto.Marshal(peer.FromEnvelope(e))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := gomega.NewWithT(t)
		var m peerpb.Envelope
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		e, err := peer.ToEnvelope(&m)
		if err != nil {
			return
		}
		again, err := peer.ToEnvelope(peer.FromEnvelope(e))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		first, err := proto.MarshalOptions{Deterministic: true}.Marshal(peer.FromEnvelope(e))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		second, err := proto.MarshalOptions{Deterministic: true}.Marshal(peer.FromEnvelope(again))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(second).To(gomega.Equal(first))
	})
}
