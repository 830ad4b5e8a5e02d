package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
)

type (
	// Config holds the bound of the quotas: in each window, an account may exceed its
	// rate and burst by the ratio Overshoot and by Slack calls.
	Config struct {
		Window    time.Duration
		Overshoot float64
		Slack     float64
	}

	// Ledger holds the buckets of all accounts at a control host. Use NewLedger. It is
	// safe for concurrent use.
	Ledger struct {
		cfg   Config
		self  string
		start uint64
		// clock returns the time since the boot of the machine, including the time for
		// which the machine was suspended.
		clock func() time.Duration

		mu       sync.Mutex
		accounts map[string]*account
		list     []*account // The accounts of the plan, in its order.
		hosts    map[string]*host
		voters   []string
		// heardMajority is the latest time by clock since which a majority of the voters
		// has answered.
		heardMajority time.Duration
		// entries is the number of entry hosts that may decide alone; 0 when unknown.
		// share is the part of them that asks this host.
		entries int
		share   float64
		// absent is the number of entry hosts for whose calls room is left to accounts at
		// their quotas: those that do not follow this host, or did not until lately, see
		// backPart. Then backSince is when they were back, else it is zero. lost is the number
		// of those that do not follow now.
		lost, absent int
		backSince    time.Time
		// most is the largest number of entry hosts that followed in the last goneTime, as of
		// mostAt, and gone that of those which neither follow nor count as lost any more.
		most, gone int
		mostAt     time.Time
		lostAt     time.Time // When lost last grew.
		// version counts the changes of published numbers.
		version uint64
		spreads uint64 // The number of results of spread that were used.
	}

	// Usage is the number of calls of an account.
	Usage struct {
		Account string
		Calls   int64
	}

	// Progress is what another host has confirmed of the numbers of a Ledger. The zero
	// value stands for nothing.
	Progress struct {
		confirmed map[string]int64
		version   uint64 // Of the ledger; nothing that has changed up to it is unconfirmed.
	}

	// account is the state of one account.
	account struct {
		name           string
		rate, burst    float64
		inPlan         bool
		bucket         bucket // Of all hosts together.
		spilled        interval
		alone          bucket // Used while the ledger is restricted.
		admitted       int64  // Calls admitted here since the start, less those given back.
		version        uint64 // Of the ledger at the last change of admitted.
		leftRoom       bool   // The bucket is not full because of hosts that were lost, see restoreRoom.
		comeBack       time.Time
		users          []hostUse // One for each other host that has admitted calls of it.
		lowAt          time.Time // When the account last had no room.
		pace           pace      // Of the calls of all hosts.
		usual          pace      // As pace, over usualMemory.
		surgeAt        time.Time // When the account last was about to have no room, see noteSurge.
		use, refusals  window
		spent          window // As use, over spentWindow.
		refusedCalls   int64  // Since the start.
		loggedRefusals int64  // The value of refusedCalls at the last result of Refused.
	}

	// host is what is known of another control host.
	host struct {
		start uint64
		// baseline says that numbers which are new are not taken from buckets: the host
		// has admitted them before this one started.
		baseline bool
		observed time.Time        // When its numbers were last observed.
		heard    time.Duration    // By the ledger's clock; see Ledger.Heard.
		numbers  map[string]int64 // The highest ones observed, by account.
		adopted  bool             // Adopt was called.
	}

	// hostUse is when the number of an account at another control host last changed.
	hostUse struct {
		host    *host
		changed time.Time
	}

	// Option sets one property of a Ledger.
	Option func(*Ledger)
)

const (
	// maxSilence is how long a host may not have heard a majority and still admit calls
	// by the buckets of all hosts. Answers of busy hosts take up to 250 ms. What the hosts
	// on both sides of a cut admit during this time must fit into the overshoot.
	maxSilence = 500 * time.Millisecond
	// headroomDivisor is the part of the slack by which a bucket is larger than the
	// burst: calls of an account within its burst do not reach the deciding hosts at the
	// intervals at which they were sent.
	headroomDivisor = 4
	// yieldReserve is the part of the bucket of an account at its quota that is kept for
	// calls which do not yield.
	yieldReserve = 0.25
	// shortLevel is the level below which an account counts as asking for more than its
	// quota. The bucket of one that asks for more at several hosts is between 0 and 1,
	// and fills while it has no calls; that of one within its quota is rarely below 2.
	shortLevel = 2
	// backPart is the part of a window for which the calls count that entry hosts admitted
	// alone before they were back. Accounts within their quotas then use the whole bucket,
	// of which they would be refused a part if it were longer.
	backPart = 0.5
	// goneTime is how long room is left to entry hosts that no longer count as lost. When 12
	// hosts of 119 are gone, accounts at their quotas begin to get less than these, so it is
	// limited; longer cuts are not expected to heal by themselves.
	goneTime = 10 * time.Minute
	// lowTime is how long an account is listed as limited after it had no room.
	lowTime = time.Second
	// surgeTime is the time in which an account that is about to have no room is listed
	// before it has none: until the list of a control host is at entry hosts that are cut off
	// 300 ms after the first call beyond the quota.
	surgeTime = 300 * time.Millisecond
	// usualDeviations is the number of standard deviations of calls at random times by which
	// those of a window may exceed the usual ones before an account counts as one that asks for
	// more. One window of 1,000 does by chance.
	usualDeviations = 3
	// usableWait is the longest time after which a caller is expected to come back. It is
	// the shortest deadline of the classes of the deployments with quotas.
	usableWait = 2 * time.Second
	// activeTime is how long a host counts as one that uses an account after its number
	// has changed.
	activeTime = time.Second
	// unknownEntries is the number of entry hosts that a restricted ledger assumes
	// before it knows any.
	unknownEntries = 100
)

var _ engine.Quota = (*Ledger)(nil)

// WithClock sets the clock for the restriction of a ledger. It must go on while the
// machine is suspended. The default stands still.
func WithClock(clock func() time.Duration) Option {
	return func(l *Ledger) { l.clock = clock }
}

// NewLedger returns a ledger of the control host called self without accounts. start
// identifies this run of the process; it must grow with every run of any host. The ledger
// is restricted until SetVoters and Heard say that a majority has answered.
func NewLedger(cfg Config, self string, start uint64, opts ...Option) *Ledger {
	l := &Ledger{
		cfg: cfg, self: self, start: start, clock: func() time.Duration { return 0 }, share: 1,
		accounts: make(map[string]*account), hosts: make(map[string]*host), heardMajority: math.MinInt64 / 2,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Start returns the number that identifies this run of the process.
func (l *Ledger) Start() uint64 {
	return l.start
}

// SetAccounts puts the accounts of a plan in force at now. The bucket of a new account is
// full. An account with another quota keeps what it has used.
func (l *Ledger) SetAccounts(accounts []plan.Account, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.list {
		a.inPlan = false
	}
	l.list = l.list[:0]
	for i := range accounts {
		p := &accounts[i]
		// Accounts that leave the plan stay in the map: their numbers go on if they
		// come back, as other hosts expect.
		a, known := l.accounts[p.Name]
		if !known {
			a = newAccount(p)
			l.accounts[p.Name] = a
		}
		if a.rate != p.Rate || a.burst != p.Burst {
			l.changeQuota(a, p.Rate, p.Burst, now)
		}
		a.inPlan = true
		l.list = append(l.list, a)
	}
}

// newAccount returns an account of a plan without calls.
func newAccount(p *plan.Account) *account {
	return &account{name: p.Name, rate: p.Rate, burst: p.Burst, pace: pace{memory: paceMemory}, usual: pace{memory: usualMemory}}
}

// changeQuota sets the rate and the burst of an account. The caller holds mu.
func (l *Ledger) changeQuota(a *account, rate, burst float64, now time.Time) {
	l.refill(a, now)
	before := l.capacity(a)
	a.rate, a.burst = rate, burst
	after := l.capacity(a)
	a.bucket.level = min(a.bucket.level+max(after-before, 0), after)
	a.alone = bucket{}
	a.comeBack = time.Time{}
}

// SetVoters sets the names of the voting hosts, which may include this one.
func (l *Ledger) SetVoters(voters []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(voters, l.voters) {
		l.voters = slices.Clone(voters)
		l.updateMajority()
	}
}

// SetEntries sets the numbers of entry hosts that follow this host, and of those that did
// so lately. The latter may decide alone, so this ledger leaves them their part of all
// quotas.
func (l *Ledger) SetEntries(following, lost int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := 1.0
	if following > 0 {
		share = float64(following) / float64(following+lost)
	}
	if share != l.share {
		for _, a := range l.list {
			l.refill(a, now)
		}
		kept := min(share/l.share, 1)
		l.share = share
		for _, a := range l.list {
			if a.bucket.level > 0 {
				a.bucket.level *= kept // The rest is the lost hosts' part.
			}
			a.leftRoom = a.leftRoom || kept == 1 // Hosts are back.
		}
	}
	if n := following + lost; n > 0 {
		l.entries = n
		l.setGone(following, lost, now)
	}
	l.setAbsent(lost+l.gone, now)
}

// setGone sets the number of entry hosts that are gone. They may be cut off for longer than
// they count as lost, and go on to admit calls alone. Those in whose places others follow are
// not counted. The caller holds mu.
func (l *Ledger) setGone(following, lost int, now time.Time) {
	if following >= l.most || now.Sub(l.mostAt) >= goneTime {
		l.most, l.mostAt = following, now
	}
	l.gone = max(l.most-following-lost, 0)
}

// setAbsent sets the number of entry hosts that do not follow this host. The calls that they
// have admitted alone count for some time after they are back, see backPart. The caller holds mu.
func (l *Ledger) setAbsent(lost int, now time.Time) {
	l.expireAbsent(now)
	if lost > l.lost {
		l.lostAt = now
	}
	l.lost = lost
	switch {
	case lost >= l.absent:
		l.absent, l.backSince = lost, time.Time{}
	case l.backSince.IsZero():
		l.backSince = now
	}
}

// expireAbsent sets absent to the hosts that do not follow now if the others have been back
// for long enough. The caller holds mu.
func (l *Ledger) expireAbsent(now time.Time) {
	if !l.backSince.IsZero() && now.Sub(l.backSince) >= time.Duration(backPart*float64(l.cfg.Window)) {
		l.absent, l.backSince = l.lost, time.Time{}
	}
}

// Heard records that another host has answered a question that was sent at the given
// time by the ledger's clock.
func (l *Ledger) Heard(name string, sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.host(name)
	h.heard = max(h.heard, sent)
	l.updateMajority()
}

// updateMajority sets heardMajority. The caller holds mu.
func (l *Ledger) updateMajority() {
	l.heardMajority = math.MinInt64 / 2
	var heard []time.Duration
	for _, v := range l.voters {
		if v == l.self {
			heard = append(heard, math.MaxInt64/2)
		} else if h, ok := l.hosts[v]; ok && h.heard > 0 {
			heard = append(heard, h.heard)
		}
	}
	majority := quorum.Majority(len(l.voters))
	if len(l.voters) == 0 || len(heard) < majority {
		return
	}
	slices.Sort(heard)
	l.heardMajority = heard[len(heard)-majority]
}

// host returns the record of another host. The caller holds mu.
func (l *Ledger) host(name string) *host {
	h, ok := l.hosts[name]
	if !ok {
		h = &host{numbers: make(map[string]int64)}
		l.hosts[name] = h
	}
	return h
}

// Restricted reports whether the ledger admits only as much as an entry host alone.
func (l *Ledger) Restricted() bool {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restricted(now)
}

// restricted implements Restricted at a time by the ledger's clock. The caller holds mu.
func (l *Ledger) restricted(now time.Duration) bool {
	return now-l.heardMajority > maxSilence
}

// capacity returns the capacity of an account's bucket. The caller holds mu.
func (l *Ledger) capacity(a *account) float64 {
	return max((a.burst+l.cfg.Slack/headroomDivisor)*l.share, 1)
}

// refill brings the bucket of an account up to date. The caller holds mu.
func (l *Ledger) refill(a *account, now time.Time) {
	rate := a.rate * l.share
	if tokens := a.bucket.refill(rate, l.capacity(a), now); tokens > 0 {
		a.spilled.extend(time.Duration(tokens/rate*float64(time.Second)), now)
	}
}

// Admit counts a call of an account and reports true if the account has room. Otherwise
// it returns the time after which the caller may come back: when the account has room
// for one more call after all calls that were told to come back before. An account that
// the plan does not name has no limit.
func (l *Ledger) Admit(name string, now time.Time) (time.Duration, bool) {
	return l.admit(name, 0, now)
}

// AdmitYielding is Admit for a call that leaves room to others of its account: while the
// account is at its quota, it is admitted only if a quarter of the bucket is full. The quota
// would otherwise go to callers who come back after a refusal, and to whichever kind of
// call is made most often. Source: F. Kelly, "Loss Networks", The Annals of Applied
// Probability 1(3), 1991, on trunk reservation.
func (l *Ledger) AdmitYielding(name string, now time.Time) (time.Duration, bool) {
	return l.admit(name, yieldReserve, now)
}

// admit implements Admit and AdmitYielding. reserve is the part of the bucket that must be full
// when the account is at its quota and this host knows the use of all hosts.
func (l *Ledger) admit(name string, reserve float64, now time.Time) (time.Duration, bool) {
	clock := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[name]
	if !ok || !a.inPlan {
		return 0, true
	}
	if a.rate <= 0 {
		a.use.add(1, l.cfg.Window, now)
		return 0, true
	}
	restricted := l.restricted(clock)
	if restricted {
		ok = l.takeAlone(a, now)
	} else {
		l.refill(a, now)
		if a.leftRoom {
			l.restoreRoom(a, now)
		}
		if now.Sub(a.lowAt) > lowTime {
			reserve = 0
		}
		ok = a.bucket.level >= reserve*l.capacity(a) && !l.leavesRoom(a, now) && a.bucket.take()
	}
	if !ok {
		a.refusedCalls++
		a.refusals.add(1, l.cfg.Window, now)
		if restricted {
			// The account has room elsewhere, so that it does not count as limited.
			return l.retryAfterAlone(a, now), false
		}
		a.lowAt = now
		return l.retryAfter(a, now), false
	}
	l.count(a, 1, now)
	return 0, true
}

// leavesRoom reports whether an account that is short of room, or has a whole bucket although
// entry hosts are gone, must leave the rest of what the bound allows it to entry hosts that
// decide alone. These admit one call at least in a
// window, each for itself, which is more than their part of the quota of an account with few
// calls. An account within its quota asks each of them for less. The bucket of an account
// that leaves room does not fill. The caller holds mu.
func (l *Ledger) leavesRoom(a *account, now time.Time) bool {
	l.expireAbsent(now)
	if l.absent == 0 {
		return false
	}
	spent := float64(a.spent.sum(l.spentWindow(), now))
	short := a.bucket.level < shortLevel || now.Sub(a.lowAt) < lowTime || l.surgedAtLoss(a, now)
	switch {
	case short && spent < l.allowedBesideAbsent(a, now):
		return false
	case !short && (l.gone == 0 || spent < l.allowedBesideGone(a, spent, now)):
		return false
	}
	a.bucket.level, a.leftRoom = min(a.bucket.level, 0), true
	return true
}

// restoreRoom fills the bucket of an account that has left room or its tokens to lost hosts,
// once they are back and it had room for lowTime, up to what its calls in a window leave of its rate and
// burst. Accounts within their quotas would otherwise be short of tokens for seconds, while
// one over its quota never has room for that long. The caller holds mu.
func (l *Ledger) restoreRoom(a *account, now time.Time) {
	if l.absent > 0 || now.Sub(a.lowAt) < lowTime {
		return
	}
	a.leftRoom = false
	left := a.rate*l.cfg.Window.Seconds() + a.burst - float64(a.spent.sum(l.spentWindow(), now))
	a.bucket.level = max(a.bucket.level, min(left, l.capacity(a)))
}

// surgedAtLoss reports whether an account was about to have no room shortly before or after
// entry hosts were last lost, and that is not long ago. Later, accounts within their quotas
// come near to that for a moment, since their buckets are smaller. The caller holds mu.
func (l *Ledger) surgedAtLoss(a *account, now time.Time) bool {
	return now.Sub(l.lostAt) < lowTime && now.Sub(a.surgeAt) < lowTime
}

// allowedBesideAbsent returns the number of calls of an account in a window that the bound
// leaves to hosts which exchange their numbers, when each absent entry host admits as many
// as it can. A part of the slack is for calls that other hosts report late. Entry hosts that
// are back have their part of the quota decided here again. The caller holds mu.
func (l *Ledger) allowedBesideAbsent(a *account, now time.Time) float64 {
	n := l.aloneParts() + float64(l.gone)
	allowed := l.cfg.bound(a.rate, a.burst) - float64(l.absent)*l.cfg.callsAlone(a.rate, a.burst, n) - l.cfg.Slack/headroomDivisor
	if !l.backSince.IsZero() {
		allowed += a.rate * float64(l.absent-l.lost) / n * now.Sub(l.backSince).Seconds()
	}
	return allowed
}

// allowedBesideGone is allowedBesideAbsent for an account that is not short of room while entry
// hosts are gone. Buckets are whole then, so that an account may take more than the gone hosts
// leave without being short. Callers are taken to ask each gone host as often as each that
// follows. When an account has more calls than usual, by more than chance explains, each gone
// host will soon have admitted as many as it can. The caller holds mu.
func (l *Ledger) allowedBesideGone(a *account, spent float64, now time.Time) float64 {
	calls := l.cfg.callsAlone(a.rate, a.burst, l.aloneParts()+float64(l.gone))
	usual := a.usual.rate(now) * l.spentWindow().Seconds()
	following := float64(max(l.entries-l.lost+l.gone, 1))
	alone := float64(l.gone)*expectedCalls(max(spent, usual)/following, calls) + float64(l.absent-l.gone)*calls
	allowed := l.cfg.bound(a.rate, a.burst) - alone - l.cfg.Slack/headroomDivisor
	return max(min(allowed, usual+usualDeviations*math.Sqrt(usual)), l.allowedBesideAbsent(a, now))
}

// spentWindow returns a time whose count by a window includes all calls of the last
// cfg.Window, although the earliest part of the count is of up to a tenth less.
func (l *Ledger) spentWindow() time.Duration {
	return l.cfg.Window * windowParts / (windowParts - 1)
}

// takeAlone takes a call from the part of the quota that an entry host has which decides
// alone. The bucket of all hosts is not refilled: what others have admitted in the
// meantime is not known yet. The caller holds mu.
func (l *Ledger) takeAlone(a *account, now time.Time) bool {
	if a.bucket.updated.IsZero() {
		l.refill(a, now)
	}
	n := l.aloneParts()
	a.alone.refill(a.rate/n, max(a.burst/n, 1), now)
	if a.bucket.level < 1 || !a.alone.take() {
		return false
	}
	a.bucket.level--
	return true
}

// aloneParts returns the number of parts into which quotas are divided among hosts that
// decide alone. The caller holds mu.
func (l *Ledger) aloneParts() float64 {
	if l.entries == 0 {
		return unknownEntries
	}
	return float64(l.entries)
}

// retryAfterAlone is retryAfter for a restricted ledger. An account that had room when
// the restriction began probably has some again as soon as a majority is heard. The caller
// holds mu.
func (l *Ledger) retryAfterAlone(a *account, now time.Time) time.Duration {
	if a.bucket.level < 1 {
		return l.retryAfter(a, now)
	}
	l.spreads++
	return roundUp(aloneWait + spread(l.spreads, aloneWait))
}

// count counts n calls that were admitted here. The caller holds mu.
func (l *Ledger) count(a *account, n int64, now time.Time) {
	l.version++
	a.admitted += n
	a.version = l.version
	a.use.add(int32(n), l.cfg.Window, now)
	a.spent.add(int32(n), l.spentWindow(), now)
	l.noteSurge(a, n, now)
}

// noteSurge counts n calls of an account, and lists the account as limited when it will have
// no room in surgeTime if its calls go on as they have lately. Entry hosts that are cut off
// from then on would not learn of it any more, and each admit a call beside those that the
// account has just made. The caller holds mu.
func (l *Ledger) noteSurge(a *account, n int64, now time.Time) {
	a.usual.add(float64(n), now)
	beyond := a.pace.add(float64(n), now) - a.rate*l.share
	if a.bucket.level-beyond*surgeTime.Seconds() < 1 {
		a.surgeAt = now
	}
}

// retryAfter returns the time after which the caller of a refused call may come back.
// Callers are told times that follow each other at the rate of the account, divided by
// the number of hosts that decide for its calls at present. Times beyond usableWait are not
// kept for anybody: those callers are spread over a window that begins when the present
// one has passed. The caller holds mu.
func (l *Ledger) retryAfter(a *account, now time.Time) time.Duration {
	deciders := 1
	for _, u := range a.users {
		if now.Sub(u.changed) < activeTime {
			deciders++
		}
	}
	room := now.Add(a.bucket.wait(a.rate*l.share, l.cfg.Window))
	next := a.comeBack.Add(time.Duration(float64(deciders) / a.rate * float64(time.Second)))
	if next.Before(room) {
		next = room
	}
	if next.Sub(now) > usableWait {
		l.spreads++
		return roundUp(l.cfg.Window + spread(l.spreads, l.cfg.Window))
	}
	a.comeBack = next
	return roundUp(next.Sub(now))
}

// roundUp rounds a time up to whole milliseconds, the unit of messages and header
// fields. A caller that came back earlier would find no room.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// Return gives a call that was certainly not run back to the account.
func (l *Ledger) Return(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[name]
	if !ok || !a.inPlan {
		return
	}
	if a.rate <= 0 {
		a.use.add(-1, l.cfg.Window, now)
		return
	}
	a.bucket.level = min(a.bucket.level+1, l.capacity(a))
	l.count(a, -1, now)
}

// Observe takes what another host reports from the buckets. start identifies the run of
// that host's process, and usage holds calls that it has admitted since then. Numbers of
// an earlier run are ignored, and lower numbers than before too: calls that were given
// back are not counted again when their tokens are used.
//
// The numbers of a host that started before this one are at first only remembered. What
// is left of the quotas is told by Adopt.
func (l *Ledger) Observe(name string, start uint64, usage []Usage, now time.Time) {
	clock := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.host(name)
	if start < h.start {
		return
	}
	first := h.start == 0
	if start > h.start {
		clear(h.numbers)
		h.observed = time.Time{}
		h.start, h.baseline = start, first && start < l.start
	}
	restricted := l.restricted(clock)
	for _, u := range usage {
		l.observe(h, u, restricted, now)
	}
	h.baseline, h.observed = false, now
}

// observe implements Observe for one account. The calls were made between the last
// observation of the host and now. The tokens of that time that a full bucket did not take
// are used for them first, since they would have had room if the report had been there at
// once. A restricted ledger adds no tokens at all: after a resumption, several reports of a
// host that have waited are read at once. The caller holds mu.
func (l *Ledger) observe(h *host, u Usage, restricted bool, now time.Time) {
	before := h.numbers[u.Account]
	if u.Calls <= before {
		return
	}
	h.numbers[u.Account] = u.Calls
	a, ok := l.accounts[u.Account]
	if ok {
		a.noteUse(h, now)
	}
	if h.baseline || !ok || a.rate <= 0 {
		return
	}
	n := u.Calls - before
	a.use.add(int32(min(n, math.MaxInt32)), l.cfg.Window, now)
	a.spent.add(int32(min(n, math.MaxInt32)), l.spentWindow(), now)
	if !restricted || a.bucket.updated.IsZero() {
		l.refill(a, now)
	}
	paid := 0.0
	if !h.observed.IsZero() {
		paid = a.spilled.pay(float64(n), a.rate*l.share, h.observed)
	}
	l.lower(a, a.bucket.level+paid-float64(n), now)
	l.noteSurge(a, n, now)
}

// noteUse records that the number of the account at another host has changed. Looking the
// account up in the numbers of each host would take most of the time of a refusal.
func (a *account) noteUse(h *host, now time.Time) {
	for i := range a.users {
		if a.users[i].host == h {
			a.users[i].changed = now
			return
		}
	}
	a.users = append(a.users, hostUse{host: h, changed: now})
}

// lower sets the level of an account's bucket, at least so much that the bucket recovers
// within a window and the time that it takes to fill: a wrong number must not block an
// account for ever. The caller holds mu.
func (l *Ledger) lower(a *account, level float64, now time.Time) {
	a.bucket.level = max(level, -a.rate*l.cfg.Window.Seconds()-l.capacity(a))
	if a.bucket.level < 1 {
		a.lowAt = now
	}
}

// Missing returns, for each account whose bucket is not full, how many calls it lacks.
func (l *Ledger) Missing(now time.Time) []Usage {
	clock := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Usage
	for _, a := range l.list {
		if a.rate <= 0 {
			continue
		}
		if !l.restricted(clock) {
			l.refill(a, now)
		}
		if n := math.Round(l.capacity(a) - a.bucket.level); n >= 1 && !a.bucket.updated.IsZero() {
			list = append(list, Usage{Account: a.name, Calls: int64(n)})
		}
	}
	return list
}

// Adopt takes over what a host that started before this one has returned from Missing.
// Only the first result of a host has an effect.
func (l *Ledger) Adopt(name string, start uint64, missing []Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.host(name)
	if h.adopted || start >= l.start {
		return
	}
	h.adopted = true
	for _, u := range missing {
		a, ok := l.accounts[u.Account]
		if !ok || a.rate <= 0 {
			continue
		}
		l.refill(a, now)
		l.lower(a, min(a.bucket.level, l.capacity(a)-float64(u.Calls)), now)
	}
}

// Unreported appends the numbers that the other host has not confirmed to dst, and
// returns it with the progress that Confirm records once they have arrived.
func (l *Ledger) Unreported(dst []Usage, p *Progress) ([]Usage, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.version == l.version {
		return dst, l.version
	}
	for _, a := range l.accounts {
		if a.version > p.version && a.admitted != p.confirmed[a.name] {
			dst = append(dst, Usage{Account: a.name, Calls: a.admitted})
		}
	}
	return dst, l.version
}

// Confirm records that the result of Unreported has arrived.
func (p *Progress) Confirm(usage []Usage, version uint64) {
	if p.confirmed == nil {
		p.confirmed = make(map[string]int64)
	}
	for _, u := range usage {
		p.confirmed[u.Account] = u.Calls
	}
	p.version = version
}

// Reset makes the next report contain all numbers.
func (p *Progress) Reset() {
	*p = Progress{}
}
