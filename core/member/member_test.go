package member_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
)

func record(incarnation uint64, state member.State) member.Record {
	return member.Record{
		Key:         member.Key{Service: "bookings", Target: "t1"},
		Address:     netip.MustParseAddrPort("127.0.0.1:9001"),
		State:       state,
		Incarnation: incarnation,
	}
}

func TestMergeKeepsTheNewestRecordInAnyOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	records := []member.Record{record(1, member.Ready), record(1, member.Leaving), record(2, member.Cold)}
	orders := [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {1, 0, 2, 1, 0}}
	for _, order := range orders {
		var table member.Table
		for _, i := range order {
			_, err := table.Merge(records[i], time.Time{})
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		g.Expect(table.All(nil)).To(gomega.Equal([]member.Record{record(2, member.Cold)}))
	}
}

func TestMergeRefusesUnusableRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	var table member.Table
	_, err := table.Merge(member.Record{}, time.Time{})
	g.Expect(err).To(gomega.MatchError(member.ErrRecord))
	g.Expect(table.Len()).To(gomega.BeZero())
}
