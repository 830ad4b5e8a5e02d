package follow_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/follow"
	"cardamomspool/core/spec"
)

func doc(name string, revision uint64) spec.Versioned {
	return spec.Versioned{Name: name, Revision: revision}
}

func TestStaleControlHostIsNotTrusted(t *testing.T) {
	g := gomega.NewWithT(t)
	f := follow.New(3)
	g.Expect(f.Update(nil, doc("a", 3))).To(gomega.BeEmpty())
	g.Expect(f.Report(nil, "stale", nil)).To(gomega.BeEmpty())
	g.Expect(f.Report(nil, "stale", nil)).To(gomega.BeEmpty(), "one host counts once")
	g.Expect(f.Report(nil, "fresh", map[string]uint64{"a": 5})).To(gomega.BeEmpty(), "revision 5 may be chosen")
	g.Expect(f.Outdated()).To(gomega.Equal([]string{"a"}))
	g.Expect(f.Update(nil, doc("a", 4))).To(gomega.BeEmpty())
	g.Expect(f.Update(nil, doc("a", 5))).To(gomega.Equal([]spec.Versioned{doc("a", 5)}))
	g.Expect(f.Confirmed()).To(gomega.BeTrue())
}

func TestRestoredDocumentsAreInForceAndNeverLowered(t *testing.T) {
	g := gomega.NewWithT(t)
	f := follow.New(3)
	g.Expect(f.Restore(nil, doc("a", 7))).To(gomega.Equal([]spec.Versioned{doc("a", 7)}))
	f.Trust()
	g.Expect(f.Update(nil, doc("a", 6))).To(gomega.BeEmpty())
	g.Expect(f.Update(nil, doc("a", 8))).To(gomega.Equal([]spec.Versioned{doc("a", 8)}))
	g.Expect(f.Confirmed()).To(gomega.BeFalse())
}

// Control hosts report in any order, and each may have missed any revisions except
// those for which it was part of the accepting majority. The entry host restarts
// without saved documents at any time. From then on it must put in force no
// revision older than the one that was chosen at the restart, and the revision in
// force must never decrease.
func TestRevisionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const controls = 5
		learnt, accepted := make([]uint64, controls), make([]uint64, controls)
		names := []string{"c0", "c1", "c2", "c3", "c4"}
		var chosen, inForce, minRevision uint64
		f := follow.New(controls)
		check := func(list []spec.Versioned) {
			for _, v := range list {
				if v.Revision < inForce {
					rt.Fatalf("revision %d after %d", v.Revision, inForce)
				}
				if inForce = v.Revision; inForce < minRevision {
					rt.Fatalf("revision %d in force although %d had been chosen", inForce, minRevision)
				}
			}
		}
		control := rapid.IntRange(0, controls-1)
		rt.Repeat(map[string]func(*rapid.T){
			"choose": func(rt *rapid.T) {
				chosen++
				first := control.Draw(rt, "first")
				for i := range controls/2 + 1 {
					accepted[(first+i)%controls] = chosen
				}
				learnt[first] = chosen
			},
			"learn": func(rt *rapid.T) {
				c := control.Draw(rt, "host")
				learnt[c], accepted[c] = chosen, chosen
			},
			"stream": func(rt *rapid.T) {
				c := control.Draw(rt, "host")
				if learnt[c] > f.Received()["a"] {
					check(f.Update(nil, doc("a", learnt[c])))
				}
				check(f.Report(nil, names[c], map[string]uint64{"a": accepted[c]}))
			},
			"restart": func(*rapid.T) {
				f, inForce, minRevision = follow.New(controls), 0, chosen
			},
		})
	})
}
