package ctrl

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/core/plan"
	"cardamomspool/core/quota"
	"cardamomspool/io/admin"
	"cardamomspool/io/clock"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
)

type (
	// usageExchange reports the calls that this host has admitted, by client account, to
	// all other control hosts, and receives their reports.
	usageExchange struct {
		fleet  *fleet
		ledger *quota.Ledger
		// limited is true while the plan has accounts with quotas; otherwise nothing is
		// exchanged.
		limited atomic.Bool
		// planSet holds a value when the plan has changed.
		planSet chan struct{}

		mu    sync.Mutex
		peers map[netip.AddrPort]bool // The control hosts that maintain reports to.
	}

	// usagePeer is the connection to another control host. It belongs to one goroutine,
	// so that one report at most is in flight. Questions are asked beside it.
	usagePeer struct {
		exchange   *usageExchange
		address    netip.AddrPort
		conn       *grpc.ClientConn
		progress   quota.Progress
		told       bool // The host has told what its buckets miss.
		unanswered int  // Consecutive requests without an answer in time.
		idleTicks  int  // Ticks since the last request.
		batch      []quota.Usage
		questions  sync.WaitGroup
	}
)

const (
	// usagePeriod is the time between two reports while numbers change.
	usagePeriod = 50 * time.Millisecond
	// maxIdleTicks is the number of ticks after which a report without numbers is sent:
	// a host that has not heard a majority for 500 ms restricts itself.
	maxIdleTicks = 2
	// usageTimeout bounds a report. It is longer than the stalls of a busy host, and
	// shorter than the time after which a host restricts itself.
	usageTimeout = 450 * time.Millisecond
	// usageCheckPeriod is the time between two looks for control hosts, voters, entry
	// hosts and limited accounts.
	usageCheckPeriod = 100 * time.Millisecond
	// overQuotaLogPeriod is the time between two log lines about one account, and
	// maxOverQuotaLines the number of accounts that are named each time.
	overQuotaLogPeriod = time.Second
	maxOverQuotaLines  = 20
)

// newUsageExchange returns the exchange of f, whose state need not exist yet.
func newUsageExchange(f *fleet) *usageExchange {
	s := &f.host.cfg.Fleet
	cfg := quota.Config{Window: s.QuotaWindow.Std(), Overshoot: s.QuotaOvershoot, Slack: float64(s.QuotaSlack)}
	start := uint64(time.Now().UnixNano())
	return &usageExchange{
		fleet: f, ledger: quota.NewLedger(cfg, f.self().String(), start, quota.WithClock(clock.SinceBoot)),
		peers: make(map[netip.AddrPort]bool), planSet: make(chan struct{}, 1),
	}
}

// setPlan puts the accounts of a plan in force.
func (u *usageExchange) setPlan(p *plan.Plan) {
	u.ledger.SetAccounts(p.Accounts, time.Now())
	limited := false
	for i := range p.Accounts {
		limited = limited || p.Accounts[i].Rate > 0
	}
	u.limited.Store(limited)
	select {
	case u.planSet <- struct{}{}:
	default:
	}
}

// run exchanges numbers with all known control hosts until ctx ends. entryHosts is
// feed.Server.EntryHosts.
func (u *usageExchange) run(ctx context.Context, entryHosts func(time.Time) (following, lost int)) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(usageCheckPeriod)
	defer ticker.Stop()
	logged, restricted := time.Now(), false
	for {
		now := time.Now()
		u.updateVoters()
		restricted = u.noteRestriction(restricted)
		following, lost := entryHosts(now)
		u.ledger.SetEntries(following, lost, now)
		u.fleet.state.SetLimited(u.ledger.Limited(now))
		for _, address := range u.newPeers() {
			group.Go(func() { u.maintain(ctx, address) })
		}
		if now.Sub(logged) >= overQuotaLogPeriod {
			logged = now
			u.logRefused(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-u.planSet: // After a start, the ledger is restricted until others answer.
		}
	}
}

// noteRestriction logs a change of the ledger between restricted and not restricted, and
// returns which it is. Hosts without quotas log nothing.
func (u *usageExchange) noteRestriction(former bool) bool {
	restricted := u.limited.Load() && u.ledger.Restricted()
	if restricted == former {
		return former
	}
	if restricted {
		u.fleet.host.metrics.Counter("quota_restrictions").Add(1)
	}
	u.fleet.host.log.Info("quotas restricted to the part of an entry host", "restricted", restricted)
	return restricted
}

// updateVoters tells the ledger which hosts vote.
func (u *usageExchange) updateVoters() {
	var voters []string
	for _, m := range u.fleet.state.View().Members {
		voters = append(voters, m.Host.String())
	}
	u.ledger.SetVoters(voters)
}

// newPeers marks the known control hosts that are not exchanged with yet, and returns
// them.
func (u *usageExchange) newPeers() []netip.AddrPort {
	if !u.limited.Load() {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []netip.AddrPort
	for _, address := range u.controls() {
		if !u.peers[address] {
			u.peers[address] = true
			list = append(list, address)
		}
	}
	return list
}

// controls returns the peer addresses of the voters and of all known control hosts except
// this one; some may be listed twice.
func (u *usageExchange) controls() []netip.AddrPort {
	own := u.fleet.host.cfg.PeerAddress
	var list []netip.AddrPort
	for _, m := range u.fleet.state.View().Members {
		if address := netip.AddrPortFrom(m.Host, own.Port()); address != own {
			list = append(list, address)
		}
	}
	for _, address := range u.fleet.state.Controls() {
		if address != own {
			list = append(list, address)
		}
	}
	return list
}

// maintain reports to one control host until it is no longer known, the plan has no
// quotas any more, or ctx ends.
func (u *usageExchange) maintain(ctx context.Context, address netip.AddrPort) {
	p := &usagePeer{exchange: u, address: address}
	defer func() {
		p.close()
		p.questions.Wait()
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.peers, address)
	}()
	ticker := time.NewTicker(usagePeriod)
	defer ticker.Stop()
	for u.wants(address) {
		p.reportAndAsk(ctx, ticker.C)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// wants reports whether numbers are to be exchanged with a control host.
func (u *usageExchange) wants(address netip.AddrPort) bool {
	if !u.limited.Load() {
		return false
	}
	for _, other := range u.controls() {
		if other == address {
			return true
		}
	}
	return false
}

// reportAndAsk calls report. While its answer is due, it asks a question at each tick: a
// busy host answers late, but its answers show that it was reached lately.
func (p *usagePeer) reportAndAsk(ctx context.Context, ticks <-chan time.Time) {
	if err := p.dial(); err != nil {
		p.fail(err)
		return
	}
	client := peerpb.NewFleetClient(p.conn)
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		p.report(ctx)
	}()
	for {
		select {
		case <-reported:
			return
		case <-ticks:
			p.questions.Go(func() { p.question(ctx, client) })
		}
	}
}

// question sends a report without numbers.
func (p *usagePeer) question(ctx context.Context, client peerpb.FleetClient) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	ledger, sent := p.exchange.ledger, clock.SinceBoot()
	request := &peerpb.UsageRequest{Control: p.exchange.fleet.host.cfg.PeerAddress.String(), Start: ledger.Start()}
	if _, err := client.Usage(ctx, request); err != nil {
		p.exchange.fleet.host.log.Debug("control host does not answer a question", "address", p.address.String(), "error", err)
		return
	}
	ledger.Heard(p.address.Addr().String(), sent)
}

// report sends the numbers that the host has not confirmed. If there are none, it sends
// an empty report after maxIdleTicks. Before the first report it asks for what the
// buckets of the host miss. After a request without an answer, the next report has all
// numbers.
func (p *usagePeer) report(ctx context.Context) {
	ledger := p.exchange.ledger
	var version uint64
	p.batch, version = ledger.Unreported(p.batch[:0], &p.progress)
	if p.idleTicks++; len(p.batch) == 0 && p.told && p.idleTicks < maxIdleTicks {
		return
	}
	p.idleTicks = 0
	sent := clock.SinceBoot()
	var err error
	if !p.told {
		err = p.ask(ctx)
	}
	if err == nil {
		request := &peerpb.UsageRequest{
			Control: p.exchange.fleet.host.cfg.PeerAddress.String(), Start: ledger.Start(), Accounts: fromUsage(p.batch),
		}
		_, err = p.send(ctx, request)
	}
	if err != nil {
		p.fail(err)
		return
	}
	p.unanswered = 0
	p.progress.Confirm(p.batch, version)
	ledger.Heard(p.address.Addr().String(), sent)
}

// ask takes over what the buckets of the host miss. The request for it has no start.
func (p *usagePeer) ask(ctx context.Context) error {
	reply, err := p.send(ctx, &peerpb.UsageRequest{Control: p.exchange.fleet.host.cfg.PeerAddress.String()})
	if err != nil {
		return err
	}
	p.exchange.ledger.Adopt(p.address.Addr().String(), reply.GetStart(), toUsage(reply.GetAccounts()), time.Now())
	p.told = true
	return nil
}

// send sends a request and returns the answer.
func (p *usagePeer) send(ctx context.Context, request *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	return peerpb.NewFleetClient(p.conn).Usage(ctx, request)
}

// dial creates the connection if there is none.
func (p *usagePeer) dial() error {
	if p.conn != nil {
		return nil
	}
	var err error
	p.conn, err = peer.Dial(p.address, peer.WithTraffic(p.exchange.fleet.host.peerTraffic()))
	return err
}

// fail handles a request that has failed with err. The next one connects anew if the
// connection is broken, without a delay, and on another connection after maxUnanswered
// requests without an answer, as the connection may be dead.
func (p *usagePeer) fail(err error) {
	p.exchange.fleet.host.log.Debug("use of accounts not reported", "address", p.address.String(), "error", err)
	p.exchange.fleet.host.metrics.Counter("usage_reports_failed").Add(1)
	p.progress.Reset()
	if p.conn == nil {
		return
	}
	p.conn.ResetConnectBackoff()
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	if p.unanswered++; p.unanswered >= maxUnanswered {
		p.close()
	}
}

// close closes the connection.
func (p *usagePeer) close() {
	p.unanswered = 0
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// Usage takes a report of another control host. To a request without a start it answers
// what the buckets of this host miss.
func (s *fleetServer) Usage(_ context.Context, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	u := s.fleet.usage
	if u == nil {
		return nil, status.Error(codes.FailedPrecondition, "this host has no quotas")
	}
	address, err := netip.ParseAddrPort(r.GetControl())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	now, reply := time.Now(), &peerpb.UsageReply{Start: u.ledger.Start()}
	if r.GetStart() == 0 {
		reply.Accounts = fromUsage(u.ledger.Missing(now))
		return reply, nil
	}
	u.ledger.Observe(address.Addr().String(), r.GetStart(), toUsage(r.GetAccounts()), now)
	return reply, nil
}

// logRefused logs the accounts of which calls were refused lately.
func (u *usageExchange) logRefused(now time.Time) {
	list, omitted := u.ledger.Refused(nil, maxOverQuotaLines, now)
	for _, a := range list {
		u.fleet.host.log.Warn("account over quota", "account", a.Account, "rate", a.Rate, "burst", a.Burst,
			"known_use", a.Used, "refused", a.Refused, "window", u.fleet.host.cfg.Fleet.QuotaWindow.Std().String())
	}
	if omitted > 0 {
		u.fleet.host.log.Warn("further accounts over quota", "accounts", omitted)
	}
}

// Accounts returns the use of all client accounts as this host knows it, or nothing
// without quotas.
func (h *Host) Accounts() []admin.AccountUse {
	if h.fleet == nil || h.fleet.usage == nil {
		return nil
	}
	l := h.fleet.usage.ledger
	restricted, now := l.Restricted(), time.Now()
	limited, ranks := l.Limited(now), make(map[string]*int)
	if p := h.fleet.state.Plan(); p != nil {
		for i := range p.Accounts {
			ranks[p.Accounts[i].Name] = p.Accounts[i].Rank
		}
	}
	var list []admin.AccountUse
	for _, a := range l.Status(now) {
		_, isLimited := slices.BinarySearch(limited, a.Account)
		list = append(list, admin.AccountUse{
			Account: a.Account, Rank: ranks[a.Account], Rate: a.Rate, Burst: a.Burst, Room: a.Room, Used: a.Used, Refused: a.Refused,
			Restricted: restricted, Limited: isLimited,
		})
	}
	return list
}

// fromUsage encodes numbers of calls.
func fromUsage(list []quota.Usage) []*peerpb.AccountUsage {
	m := make([]*peerpb.AccountUsage, 0, len(list))
	for _, u := range list {
		m = append(m, &peerpb.AccountUsage{Account: u.Account, Admitted: u.Calls})
	}
	return m
}

// toUsage decodes numbers of calls.
func toUsage(m []*peerpb.AccountUsage) []quota.Usage {
	list := make([]quota.Usage, 0, len(m))
	for _, u := range m {
		list = append(list, quota.Usage{Account: u.GetAccount(), Calls: u.GetAdmitted()})
	}
	return list
}
