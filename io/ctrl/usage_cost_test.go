package ctrl

import (
	"context"
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/quota"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/telem"
)

// The largest deployment with quotas: its accounts, its control hosts, the calls a second
// of its busiest service, and the link of its hosts.
const (
	costAccounts, costControls = 82, 7
	costCalls                  = 527
	costLinkBytes              = 2.4e6 / 8
)

// usageSink answers reports of use and drops them.
type usageSink struct {
	peerpb.UnimplementedFleetServer
}

func (usageSink) Usage(context.Context, *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	return &peerpb.UsageReply{Start: math.MaxUint64}, nil
}

// measureReports returns the bytes that a report of n accounts takes in each direction at
// the socket.
func measureReports(g *gomega.WithT, n int) (sent, received float64) {
	const reports = 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := peer.NewServer()
	peerpb.RegisterFleetServer(server, usageSink{})
	go server.Serve(l)
	defer server.Stop()
	metrics := telem.NewRegistry()
	traffic := peer.Traffic{In: metrics.Counter("in"), Out: metrics.Counter("out")}
	conn, err := peer.Dial(l.Addr().(*net.TCPAddr).AddrPort(), peer.WithTraffic(traffic))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	list := make([]quota.Usage, 0, n)
	for i := range n {
		list = append(list, quota.Usage{Account: fmt.Sprintf("account-%03d", i), Calls: math.MaxInt32})
	}
	request := &peerpb.UsageRequest{Control: "192.168.100.100:17981", Start: math.MaxUint64, Accounts: fromUsage(list)}
	for range reports {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = peerpb.NewFleetClient(conn).Usage(ctx, request)
		cancel()
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	return float64(traffic.Out.Value()) / reports, float64(traffic.In.Value()) / reports
}

// Guards against reports that take the links of control hosts away from the calls.
func TestReportsOfUseTakeASmallPartOfALink(t *testing.T) {
	g := gomega.NewWithT(t)
	perSecond := func(sent, received float64) float64 {
		return max(sent, received) * (costControls - 1) / usagePeriod.Seconds()
	}
	changed := int(math.Ceil(costCalls * usagePeriod.Seconds())) // Accounts of one report at most.
	for _, n := range []int{0, changed, costAccounts} {
		sent, received := measureReports(g, n)
		t.Logf("report of %d accounts: %.0f bytes sent, %.0f received, %.0f kB/s to six hosts", n, sent, received, perSecond(sent, received)/1e3)
	}
	g.Expect(perSecond(measureReports(g, changed))).To(gomega.BeNumerically("<=", costLinkBytes/3))
	g.Expect(perSecond(measureReports(g, 0)) / maxIdleTicks).To(gomega.BeNumerically("<=", costLinkBytes/10))
}
