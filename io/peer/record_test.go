package peer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cardamomspool/core/member"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

func TestRecordRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	r := member.Record{
		Key: member.Key{Service: "a", Target: "t"}, Address: netip.MustParseAddrPort("[::1]:9000"), DataCentre: "xela",
		State: member.Leaving, Incarnation: 7, Slots: 3, Owner: "entry-1", Epoch: 2, LeaseExpired: true,
		Since: time.UnixMilli(1_700_000_000_123).UTC(),
	}
	records, invalid := peer.ToRecords(append(peer.FromRecords([]member.Record{r}), &peerpb.Record{Address: "nowhere"}))
	g.Expect(records).To(gomega.Equal([]member.Record{r}))
	g.Expect(invalid).To(gomega.Equal(1))
}

// FuzzSpread passes arbitrary records from another host to a node, which must not
// panic or know more targets afterwards than it was sent records.
func FuzzSpread(f *testing.F) {
	good, err := proto.Marshal(&peerpb.SpreadRequest{Host: "e2", Records: []*peerpb.Record{
		{Service: "a", Target: "t", Address: "127.0.0.1:9000", State: 2, Incarnation: 1, Voucher: "e2", Epoch: 1},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.SpreadRequest
		if err := proto.Unmarshal(data, &m); err != nil {
			return
		}
		records, _ := peer.ToRecords(m.GetRecords())
		node := member.NewNode("e1", nil, nil)
		node.Handle(nil, member.Receive{From: m.GetHost(), Message: member.Spread{Records: records}}, time.Unix(1, 0))
		if len(node.Records(nil)) > len(records) {
			t.Fatal("more targets than records")
		}
	})
}
