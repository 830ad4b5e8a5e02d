package quorum_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
)

type (
	// contention is a cluster of slow hosts at which operators make changes at the same time.
	contention struct {
		*cluster
		answers map[string]map[uint64]answer // By host and ticket.
		// ballots counts the ballots that hosts began, accepts those of them that reached
		// the second phase.
		ballots, accepts map[quorum.Ballot]bool
		// chosen holds the version of each chosen revision.
		chosen map[uint64]uint64
	}

	// answer is a result and the time after the start at which it came.
	answer struct {
		quorum.Result
		after time.Duration
	}

	// submission is a change that was sent to a host.
	submission struct {
		host    string
		ticket  uint64
		version uint64
	}
)

const (
	contentionHosts = 7
	contentionSeeds = 40
	// maxBallotsPerHost allows for one begun before the others were heard of, and for
	// being outbid by higher versions.
	maxBallotsPerHost = 3
	// answerTimeout is the time that io/ctrl gives a change.
	answerTimeout = 3 * time.Second
)

// newContention returns a running cluster whose messages take 40 to 120 ms, as between hosts
// that write a large plan to slow disks.
func newContention(t *testing.T, seed uint64) *contention {
	c := &contention{
		cluster: newCluster(contentionHosts, seed), answers: make(map[string]map[uint64]answer),
		ballots: make(map[quorum.Ballot]bool), accepts: make(map[quorum.Ballot]bool), chosen: make(map[uint64]uint64),
	}
	for _, name := range c.names {
		c.start(name)
		c.answers[name] = make(map[uint64]answer)
	}
	c.run(settleTime)
	c.startTime = c.now
	c.delays = func(e quorum.Envelope) []time.Duration {
		switch m := e.Message.(type) {
		case *quorum.Prepare:
			c.ballots[m.Ballot] = true
		case *quorum.Accept:
			c.accepts[m.Ballot] = true
		}
		return []time.Duration{40*time.Millisecond + time.Duration(c.rng.Int64N(int64(80*time.Millisecond)))}
	}
	c.onOutput = func(host string, out quorum.Output) {
		for _, v := range out.Learnt {
			c.checkChosen(t, v)
		}
		for _, r := range out.Results {
			c.answers[host][r.Ticket] = answer{Result: r, after: c.now.Sub(c.startTime)}
			c.checkChosen(t, r.Value)
		}
	}
	return c
}

// checkChosen checks that a revision has one version, and that versions rise with revisions.
func (c *contention) checkChosen(t *testing.T, v quorum.Value) {
	t.Helper()
	if first, ok := c.chosen[v.Revision]; ok && first != v.Version {
		t.Fatalf("revision %d has versions %d and %d", v.Revision, first, v.Version)
	}
	c.chosen[v.Revision] = v.Version
	for revision, version := range c.chosen {
		if revision < v.Revision && version > v.Version || revision > v.Revision && version < v.Version {
			t.Fatalf("revision %d has version %d, revision %d version %d", revision, version, v.Revision, v.Version)
		}
	}
}

// put sends a change to a version to a host.
func (c *contention) put(host string, version uint64) submission {
	change := quorum.Change{Name: document, Version: version, Body: json.RawMessage(strconv.FormatUint(version, 10))}
	return submission{host: host, ticket: c.apply(host, change), version: version}
}

// expectAnswers checks that all changes were answered in time, with their version or a higher
// one.
func (c *contention) expectAnswers(g *gomega.WithT, list ...submission) {
	for _, s := range list {
		what := fmt.Sprintf("version %d at %s", s.version, s.host)
		a, ok := c.answers[s.host][s.ticket]
		g.Expect(ok).To(gomega.BeTrue(), "%s was not answered", what)
		g.Expect(a.Err).NotTo(gomega.HaveOccurred(), what)
		g.Expect(a.after).To(gomega.BeNumerically("<=", answerTimeout), what)
		g.Expect(a.Value.Version).To(gomega.BeNumerically(">=", s.version), what)
	}
}

// putPlan sends a plan that keeps the orders to a host.
func (c *contention) putPlan(host string, version uint64) submission {
	body := json.RawMessage(fmt.Sprintf(`{"plan":{"version":%d}}`, version))
	change := quorum.Change{Name: document, Version: version, Body: body, Edit: func(current json.RawMessage) (json.RawMessage, error) {
		return plan.WithOrdersOf(current, body)
	}}
	return submission{host: host, ticket: c.apply(host, change), version: version}
}

// order sends an order to evacuate a data centre to a host.
func (c *contention) order(host, dataCentre string) submission {
	return submission{host: host, ticket: c.apply(host, edit(host+dataCentre, dataCentre, true))}
}

// forSeeds runs a test with several seeds.
func forSeeds(t *testing.T, run func(g *gomega.WithT, c *contention)) {
	t.Helper()
	for seed := range uint64(contentionSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			run(gomega.NewWithT(t), newContention(t, seed))
		})
	}
}

// Guards against hosts that outbid each other until the callers have given up: each ballot
// thrown away costs a write to the disk of every host.
func TestConcurrentChangesShareFewBallots(t *testing.T) {
	forSeeds(t, func(g *gomega.WithT, c *contention) {
		var list []submission
		order := c.rng.Perm(contentionHosts + 1)
		for i, n := range order {
			list = append(list, c.put(c.names[i%len(c.names)], uint64(n+1)))
			c.run(time.Duration(c.rng.IntN(5)) * time.Millisecond)
		}
		c.run(answerTimeout)
		c.expectAnswers(g, list...)
		g.Expect(len(c.ballots)).To(gomega.BeNumerically("<=", maxBallotsPerHost*contentionHosts))
		g.Expect(len(c.accepts)).To(gomega.BeNumerically("<=", len(list)/2))
	})
}

// Guards against changes of which each waits for the one before, at one host: all that wait
// take effect with the highest version.
func TestChangesAtOneHostShareABallot(t *testing.T) {
	forSeeds(t, func(g *gomega.WithT, c *contention) {
		var list []submission
		for _, n := range c.rng.Perm(contentionHosts + 1) {
			list = append(list, c.put("a", uint64(n+1)))
		}
		c.run(answerTimeout)
		c.expectAnswers(g, list...)
		g.Expect(c.accepts).To(gomega.HaveLen(1))
	})
}

// Guards against changes that wait for a proposer that is gone. It fails in its first or its
// second phase.
func TestChangesWaitForLostProposer(t *testing.T) {
	faults := map[string]func(c *contention, host string){
		"stopped": func(c *contention, host string) { c.stop(host) },
		"frozen":  func(c *contention, host string) { c.hosts[host].frozen = true },
		"cut off": func(c *contention, host string) { c.cutOff(host) },
	}
	for name, fail := range faults {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, func(g *gomega.WithT, c *contention) {
				lost := c.put("d", 5)
				c.run(time.Duration(c.rng.IntN(300)) * time.Millisecond)
				list := []submission{c.put("a", 3), c.put("b", 4), c.put("g", 6)}
				c.run(time.Duration(c.rng.IntN(100)) * time.Millisecond)
				fail(c, lost.host)
				again := c.put("e", 5) // The operator has no answer and sends the change again.
				c.run(answerTimeout - c.now.Sub(c.startTime))
				c.expectAnswers(g, append(list, again)...)
				c.recoverHost(lost.host)
				c.run(2 * settleTime)
				for _, host := range c.names {
					g.Expect(c.hosts[host].node.Learnt(document).Chosen.Version).To(gomega.BeEquivalentTo(6), host)
				}
			})
		})
	}
}

// cutOff makes the network lose all messages from and to a host.
func (c *contention) cutOff(host string) {
	connected := c.delays
	c.delays = func(e quorum.Envelope) []time.Duration {
		if e.From == host || e.To == host {
			return nil
		}
		return connected(e)
	}
}

// recoverHost ends all faults of a host and of the network.
func (c *contention) recoverHost(host string) {
	c.delays = func(quorum.Envelope) []time.Duration { return []time.Duration{time.Millisecond} }
	if c.hosts[host].node == nil {
		c.start(host)
	}
	c.unfreeze(host)
}

// Guards against a configuration that waits for one order after the other: eight orders are
// in progress at other hosts.
func TestVersionGoesBeforeOrders(t *testing.T) {
	forSeeds(t, func(g *gomega.WithT, c *contention) {
		var orders []submission
		for i := range contentionHosts + 1 {
			orders = append(orders, c.order(c.names[i%len(c.names)], strconv.Itoa(i)))
			c.run(time.Duration(c.rng.IntN(40)) * time.Millisecond)
		}
		version := c.putPlan(c.names[c.rng.IntN(len(c.names))], 1)
		c.run(answerTimeout)
		c.expectAnswers(g, version)
		before := c.answers[version.host][version.ticket].Value.Revision
		g.Expect(before).To(gomega.BeNumerically("<=", 3), "orders that the configuration waited for")
		c.run(answerTimeout)
		for _, s := range orders {
			a, ok := c.answers[s.host][s.ticket]
			g.Expect(ok).To(gomega.BeTrue(), s.host)
			g.Expect(a.Err).NotTo(gomega.HaveOccurred(), s.host)
		}
		list, err := plan.EvacuatedIn(c.hosts["a"].node.Learnt(document).Chosen.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(list).To(gomega.HaveLen(len(orders)))
	})
}

// Guards against changes that are lost or stuck when the view ends while they wait for each
// other: operators send those without an answer again, to hosts of the next view.
func TestChangesGoOnInTheNextView(t *testing.T) {
	for seed := range uint64(contentionSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newViewCluster(seed, 5)
			f.run(settleTime)
			f.lastVersion = 5
			for i, version := range f.rng.Perm(5) {
				f.submit(f.names[i], uint64(version+1))
			}
			f.run(time.Duration(f.rng.IntN(20)) * time.Millisecond)
			f.endView("a", "b/1", "c/1", "d/1", "f/1", "g/1")
			f.run(answerTimeout)
			for _, host := range f.newestView().hosts() {
				f.shareView("b", host)
			}
			f.run(time.Second) // The new hosts start.
			g.Expect(f.newestView().epoch).To(gomega.BeEquivalentTo(1))
			for i, host := range f.newestView().hosts() {
				f.submit(host, uint64(i+1))
			}
			answers := f.answers
			f.run(answerTimeout)
			g.Expect(f.fault).NotTo(gomega.HaveOccurred())
			g.Expect(f.answers - answers).To(gomega.Equal(5))
			g.Expect(f.agreedVersion).To(gomega.BeEquivalentTo(5))
		})
	}
}

// Guards against changes that run on after their callers have gone and compete with the same
// change, sent again at another host.
func TestCancelledChangesDoNotRun(t *testing.T) {
	forSeeds(t, func(g *gomega.WithT, c *contention) {
		first := c.put("a", 1)
		c.run(time.Duration(c.rng.IntN(60)) * time.Millisecond)
		waiting := []submission{c.put("a", 3), c.put("b", 2), c.put("c", 2)}
		h := c.hosts["a"]
		c.execute(h, h.node.Cancel(c.now, waiting[0].ticket))
		again := c.put("e", 2)
		c.run(answerTimeout)
		c.expectAnswers(g, first, waiting[1], waiting[2], again)
		g.Expect(c.answers["a"]).NotTo(gomega.HaveKey(waiting[0].ticket))
		g.Expect(c.chosen).NotTo(gomega.ContainElement(uint64(3)))
	})
}
