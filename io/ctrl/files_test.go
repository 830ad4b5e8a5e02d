package ctrl

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/core/spec"
	"cardamomspool/internal/stored"
	"cardamomspool/io/feed"
)

// storedFiles returns a file of each kind that a control host writes, with all fields that the
// build of 0e43ae4 knows.
func storedFiles() []stored.File {
	at := time.Date(2026, 9, 8, 14, 35, 7, 5_370_678, time.UTC)
	first, second := quorum.Incarnation{Number: 3, Nonce: 0xfedcba9876543210}, quorum.Incarnation{Number: 1, Nonce: 7}
	ballot := quorum.Ballot{Round: 5, Host: "127.0.0.1", Incarnation: first}
	value := quorum.Value{
		Versioned: spec.Versioned{Name: "plan", Revision: 4, Body: json.RawMessage(`{"plan":{},"source":null}`)},
		Operator:  "first", At: at, Version: 9, Next: []string{"127.0.0.1/1f", "127.0.0.2/2f"},
		Requests: []quorum.Request{{ID: "request-1", Digest: "0123456789abcdef", Revision: 2}},
	}
	deleted := quorum.Value{Versioned: spec.Versioned{Name: "desk", Revision: 2, Deleted: true}, Operator: "second", At: at.Add(time.Second)}
	return []stored.File{
		{Name: identityFile, Value: quorum.Identity{
			Incarnation: first, Stage: quorum.StageVoting, Founders: quorum.Incarnations{"127.0.0.1": second},
			Known: quorum.Incarnations{"127.0.0.1": first, "127.0.0.2": second}, Registers: []string{"plan"},
		}},
		{Name: votePrefix + "plan", Value: quorum.Register{Name: "plan", Promised: ballot, Accepted: ballot, Value: value}},
		{Name: learntPrefix + "plan", Value: quorum.Learnt{Chosen: value}},
		{Name: learntPrefix + "desk", Value: quorum.Learnt{Chosen: deleted, History: []quorum.Value{deleted}}},
		{Name: diskFile, Value: diskIdentity{Disk: 0xfedcba9876543211}},
		{Name: viewFile, Value: feed.View{
			Epoch: 2, Members: []feed.Member{{Host: netip.MustParseAddr("127.0.0.1"), Disk: 31}, {Host: netip.MustParseAddr("127.0.0.2")}}, Initial: value,
		}},
		{Name: targetsFile, Value: savedTargets{Targets: []roster.Target{{
			ID: "t-1", Service: "s", Address: netip.MustParseAddrPort("127.0.0.9:80"), DataCentre: "pest", Slots: 4, State: member.Draining,
			Born: at, Sequence: 12, WarmAt: at.Add(time.Minute), Heard: at.Add(time.Second),
		}, {ID: "t-2", State: member.Leaving}}}},
	}
}

// Guards against a data folder of an earlier build that is read differently, or that a host of that
// build reads differently once this one has written to it. The build of 762a605 adds a field to the
// identity of a host that has not voted.
func TestFilesOfEarlierBuilds(t *testing.T) {
	stored.Check(t, "testdata/files_0e43ae4.golden", storedFiles())
	files := append(storedFiles(), stored.File{Name: identityFile, Value: quorum.Identity{
		Incarnation: quorum.Incarnation{Number: 1, Nonce: 7}, Stage: quorum.StageDamaged, Unvoted: true,
	}})
	stored.Check(t, "testdata/files_762a605.golden", files)
}
