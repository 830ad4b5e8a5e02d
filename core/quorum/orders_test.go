package quorum_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
)

type (
	// orderCluster is a viewCluster with an operator for each zone, who orders and
	// withdraws its evacuation in turn, and sends each order again until it is
	// acknowledged.
	orderCluster struct {
		*viewCluster
		zones       map[string]*zoneOrders
		orders      map[*quorum.Node]map[uint64]*zoneOrder // Without a result, by process and ticket.
		lastRequest int
		acked       int
	}

	// zoneOrders is what the operator of a zone knows.
	zoneOrders struct {
		evacuated bool        // As last acknowledged.
		revision  uint64      // Of the last acknowledgement.
		pending   *zoneOrder  // The last one sent; nil if it was acknowledged.
		sent      []zoneOrder // For failures.
	}

	// zoneOrder is one order. The operator who gives it up takes no acknowledgement of it.
	zoneOrder struct {
		zone      string
		evacuated bool
		givenUp   bool
	}
)

const orderSchedules = 600

var errGivenUp = errors.New("the operator has given up")

func newOrderCluster(seed uint64) *orderCluster {
	f := &orderCluster{
		viewCluster: newViewCluster(seed, founderCount(seed)), zones: make(map[string]*zoneOrders),
		orders: make(map[*quorum.Node]map[uint64]*zoneOrder),
	}
	for _, zone := range []string{"buda", "pest"} {
		f.zones[zone] = &zoneOrders{}
	}
	f.bodyKey = func(v quorum.Value) uint64 { return v.Revision }
	f.planChange = func(version uint64) quorum.Change {
		body := json.RawMessage(fmt.Sprintf(`{"plan":{"version":%d}}`, version))
		return quorum.Change{Name: document, Version: version, Body: body, Edit: func(current json.RawMessage) (json.RawMessage, error) {
			return plan.WithOrdersOf(current, body)
		}}
	}
	f.onOutput = f.handleOutput
	return f
}

// handleOutput checks the learnt values and the results in the output of a host.
func (f *orderCluster) handleOutput(host string, out quorum.Output) {
	for _, v := range out.Learnt {
		f.checkOrders(host, v)
	}
	for _, r := range out.Results {
		node := f.hosts[host].node
		o := f.orders[node][r.Ticket]
		delete(f.orders[node], r.Ticket)
		if r.Err != nil {
			continue
		}
		f.checkOrders(host, r.Value)
		if o == nil || o.givenUp {
			continue
		}
		z := f.zones[o.zone]
		z.evacuated, z.revision, z.pending = o.evacuated, r.Value.Revision, nil
		f.acked++
		f.checkOrders(host, r.Value)
	}
	f.viewCluster.handleOutput(host, out)
}

// checkOrders checks that an agreed value has all orders that were acknowledged before it.
func (f *orderCluster) checkOrders(host string, v quorum.Value) {
	list, err := plan.EvacuatedIn(v.Body)
	if err != nil {
		f.failf("%s has a value that is not a document: %v", host, err)
	}
	for zone, z := range f.zones {
		if z.pending == nil && v.Revision >= z.revision && slices.Contains(list, zone) != z.evacuated {
			f.failf("%s has revision %d with %v, but evacuated=%t of %s was acknowledged at revision %d (%v)", host, v.Revision, list, z.evacuated, zone, z.revision, z.sent)
		}
	}
}

// order sends an order to a host: the next one of the operator, or the pending one again.
func (f *orderCluster) order(host, zone string) {
	h, z := f.hosts[host], f.zones[zone]
	if h.node == nil || h.frozen {
		return
	}
	o := &zoneOrder{zone: zone, evacuated: !z.evacuated}
	if z.pending != nil {
		z.pending.givenUp = true
	}
	z.pending = o
	z.sent = append(z.sent, *o)
	f.lastRequest++
	c := quorum.Change{Name: document, Request: strconv.Itoa(f.lastRequest), Edit: func(current json.RawMessage) (json.RawMessage, error) {
		if o.givenUp {
			return nil, errGivenUp
		}
		return plan.WithOrder(current, zone, o.evacuated)
	}}
	f.tracef("%s: order evacuated=%t of %s", host, o.evacuated, zone)
	ticket, out := h.node.Apply(f.now, c)
	if f.orders[h.node] == nil {
		f.orders[h.node] = make(map[uint64]*zoneOrder)
	}
	f.orders[h.node][ticket] = o
	f.execute(h, out)
}

// runAll runs random actions and orders, and returns the first violated invariant, or nil.
func (f *orderCluster) runAll() error {
	f.lossPercent = f.rng.IntN(25)
	f.run(2 * time.Second)
	for i := 0; i < actionsPerRun && f.fault == nil; i++ {
		if f.rng.IntN(3) == 0 {
			f.order(f.randomHost(), []string{"buda", "pest"}[f.rng.IntN(2)])
		} else {
			f.randomAction()
		}
		f.run(time.Duration(f.rng.IntN(120)) * time.Millisecond)
	}
	if f.fault == nil {
		f.healAndCheck()
	}
	return f.fault
}

// Plan changes and orders race while the voting hosts change, stop, lose their disks and
// power, freeze and are partitioned. Guards against an acknowledged order or plan that is
// lost, and an order that comes back after it was withdrawn. If SPOOL_ORDER_SEED is set, it
// runs that seed only and prints the trace.
func TestOrdersUnderRandomFaults(t *testing.T) {
	if text := os.Getenv("SPOOL_ORDER_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		f := newOrderCluster(seed)
		f.trace = os.Stdout
		if err = f.runAll(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		return
	}
	for shard := range viewShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			acked := 0
			for seed := uint64(shard); seed < orderSchedules; seed += viewShards {
				f := newOrderCluster(seed)
				if err := f.runAll(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				acked += f.acked
			}
			if want := orderSchedules / viewShards; acked < want {
				t.Fatalf("only %d orders were acknowledged, want at least one per schedule", acked)
			}
			t.Logf("%d orders acknowledged", acked)
		})
	}
}

// edit returns an order with the given request.
func edit(request, zone string, evacuated bool) quorum.Change {
	return quorum.Change{Name: document, Request: request, Edit: func(current json.RawMessage) (json.RawMessage, error) {
		return plan.WithOrder(current, zone, evacuated)
	}}
}

// Guards against an order whose ballot was lost after another host had completed it: run
// again, it must not undo the withdrawal that was acknowledged since, also after a plan.
func TestOrderActsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var v quorum.Value
	apply := func(c quorum.Change) quorum.Request {
		next, r, err := quorum.Apply(v, c)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		v = next
		return r
	}
	first := apply(edit("1", "buda", true))
	g.Expect(v.Version).To(gomega.BeZero(), "there is no plan yet")
	apply(edit("2", "buda", false))
	body := json.RawMessage(`{"plan":{"version":3}}`)
	apply(quorum.Change{Name: document, Version: 3, Body: body, Edit: func(current json.RawMessage) (json.RawMessage, error) {
		return plan.WithOrdersOf(current, body)
	}})
	g.Expect(apply(edit("1", "buda", true))).To(gomega.Equal(first))
	g.Expect(v.Revision).To(gomega.BeEquivalentTo(3))
	g.Expect(v.Version).To(gomega.BeEquivalentTo(3))
	g.Expect(string(v.Body)).To(gomega.Equal(string(body)), "without orders the plan keeps its bytes")
}
