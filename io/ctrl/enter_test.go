package ctrl

import (
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
	"cardamomspool/io/feed"
	"cardamomspool/io/setup"
)

// slowLog takes a while to write a line, as a log on a slow disk, and counts the views that
// began without any document.
type slowLog struct {
	blank atomic.Int64
}

func (l *slowLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), string(quorum.EventBootstrapped)) {
		l.blank.Add(1)
	}
	time.Sleep(2 * time.Millisecond)
	return len(line), nil
}

// Guards against a message or a tick that reaches the node of a new view before it has
// started: a node without its saved state takes its disk for blank, or ends the process.
func TestViewTakesNoStepBeforeItsStart(t *testing.T) {
	const views = 20
	g := gomega.NewWithT(t)
	log := &slowLog{}
	cfg := setup.DefaultControl()
	self := netip.MustParseAddr("127.0.1.1")
	cfg.Host, cfg.DataFolder, cfg.PeerAddress = "control-0", t.TempDir(), netip.AddrPortFrom(self, 9)
	cfg.Fleet = setup.Fleet{Adapter: setup.AdapterPlatform, Seeds: []netip.AddrPort{cfg.PeerAddress}, FrontAddress: cfg.PeerAddress}
	h, err := New(cfg, WithLogger(slog.New(slog.NewTextHandler(log, nil))))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(h.fleet.open()).To(gomega.Succeed())
	ctx, cancel := context.WithCancel(t.Context())
	ticked := make(chan struct{})
	go func() {
		defer close(ticked)
		for ctx.Err() == nil {
			h.runAndSend(func(now time.Time) quorum.Output { return h.node.Tick(now) })
		}
	}()
	for epoch := range uint64(views) {
		g.Expect(h.fleet.enter(ctx, feed.View{Epoch: epoch + 1, Members: []feed.Member{{Host: self}}})).To(gomega.Succeed())
	}
	cancel()
	<-ticked
	g.Expect(h.node.Status(time.Now()).Voting).To(gomega.BeTrue())
	g.Expect(log.blank.Load()).To(gomega.BeEquivalentTo(views), "each view begins once, with its start")
	h.fleet.close()
	g.Expect(h.folder.Close()).To(gomega.Succeed())
}
