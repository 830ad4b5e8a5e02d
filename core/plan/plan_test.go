package plan_test

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
	"cardamomspool/internal/golden"
)

func TestPlans(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Plans")
}

func route(name, host, prefix string, parts ...plan.Part) plan.Route {
	return plan.Route{
		Name: name, Host: host, PathPrefix: prefix, Timeout: strict.Duration(time.Second), Attempts: 2, Parts: parts,
	}
}

func validPlan() plan.Plan {
	return plan.Plan{
		Version:  3,
		Routes:   []plan.Route{route("r", "shop.example", "/a/", plan.Part{Service: "s", Weight: 1})},
		Services: []plan.Service{{Name: "s"}},
	}
}

var _ = ginkgo.DescribeTable("A plan is refused",
	func(change func(*plan.Plan)) {
		p := validPlan()
		gomega.Expect(p.Validate()).To(gomega.BeEmpty())
		change(&p)
		gomega.Expect(p.Validate()).NotTo(gomega.BeEmpty())
	},
	ginkgo.Entry("without a version", func(p *plan.Plan) { p.Version = 0 }),
	ginkgo.Entry("with an unknown service", func(p *plan.Plan) { p.Routes[0].Parts[0].Service = "other" }),
	ginkgo.Entry("with a negative weight", func(p *plan.Plan) { p.Routes[0].Parts[0].Weight = -1 }),
	ginkgo.Entry("with a timeout above ten minutes", func(p *plan.Plan) { p.Routes[0].Timeout = strict.Duration(plan.MaxTimeout + 1) }),
	ginkgo.Entry("without a timeout", func(p *plan.Plan) { p.Routes[0].Timeout = 0 }),
	ginkgo.Entry("without attempts", func(p *plan.Plan) { p.Routes[0].Attempts = 0 }),
	ginkgo.Entry("without a host", func(p *plan.Plan) { p.Routes[0].Host = "" }),
	ginkgo.Entry("without a part", func(p *plan.Plan) { p.Routes[0].Parts = nil }),
	ginkgo.Entry("with a key of two accounts", func(p *plan.Plan) {
		p.Accounts = []plan.Account{{Name: "a", Keys: []keys.Digest{keys.Of("k-1"), keys.Of("k-2")}}, {Name: "b", Keys: []keys.Digest{keys.Of("k-2")}}}
	}),
	ginkgo.Entry("with an account twice", func(p *plan.Plan) { p.Accounts = []plan.Account{{Name: "a"}, {Name: "a"}} }),
	ginkgo.Entry("with an account without a name", func(p *plan.Plan) { p.Accounts = []plan.Account{{}} }),
	ginkgo.Entry("with a line break in the name of an account", func(p *plan.Plan) { p.Accounts = []plan.Account{{Name: "a\nb"}} }),
	ginkgo.Entry("with a negative rate", func(p *plan.Plan) { p.Accounts = []plan.Account{{Name: "a", Rate: -1}} }),
)

// Hosts of other versions must read the plans that this one sends, and a plan without
// accounts keeps its bytes.
func TestPlanKeepsItsForm(t *testing.T) {
	g := gomega.NewWithT(t)
	var text strings.Builder
	p, rank := validPlan(), 1
	for range 2 {
		data, err := json.MarshalIndent(p, "", " ")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text.Write(append(data, '\n'))
		p.Routes[0].Open = true
		p.Accounts = []plan.Account{{Name: "a", Keys: []keys.Digest{keys.Of("k-1")}, Rank: &rank, Rate: 12.5, Burst: 30}, {Name: "b", Keys: []keys.Digest{keys.Of("k-2")}}}
	}
	golden.Compare(t, "plans", text.String())
}

var _ = ginkgo.Describe("A table of routes", func() {
	p := plan.Plan{Routes: []plan.Route{
		route("short", "shop.example", "/a/"), route("long", "shop.example", "/a/b/"), route("other", "desk.example", "/a/b/"),
	}}
	table := plan.NewTable(&p)

	ginkgo.It("finds the longest prefix of the host", func() {
		gomega.Expect(table.Find("shop.example", "/a/b/c").Name).To(gomega.Equal("long"))
		gomega.Expect(table.Find("SHOP.example", "/a/c").Name).To(gomega.Equal("short"))
		gomega.Expect(table.Find("desk.example", "/a/b/").Name).To(gomega.Equal("other"))
	})

	ginkgo.It("finds nothing for another host or path", func() {
		gomega.Expect(table.Find("desk.example", "/a/")).To(gomega.BeNil())
		gomega.Expect(table.Find("none.example", "/a/b/")).To(gomega.BeNil())
		gomega.Expect(table.Find("shop.example", "/a")).To(gomega.BeNil())
	})
})

var _ = ginkgo.Describe("Splits", func() {
	// The users allow a share to deviate by a tenth over 300 calls.
	ginkgo.It("keep each part's share close to its weight", func() {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 1))
			r := route("r", "h", "/", plan.Part{Service: "a", Weight: 90}, plan.Part{Service: "b", Weight: 7}, plan.Part{Service: "c", Weight: 0}, plan.Part{Service: "d", Weight: 3})
			splits := plan.NewSplits(rng)
			counts := make(map[string]int)
			const calls = 300
			for range calls {
				name, ok := splits.Pick(&r)
				gomega.Expect(ok).To(gomega.BeTrue())
				counts[name]++
			}
			for _, part := range r.Parts {
				gomega.Expect(float64(counts[part.Service])/calls).To(gomega.BeNumerically("~", part.Weight/100, 0.02), part.Service)
			}
		}
	})

	// Guards against parts that get no calls while other routes of the plan change: each
	// version has new routes, and several hosts pick, each for a few calls of a version.
	ginkgo.It("keep the shares while other routes change", func() {
		const hosts, calls = 6, 600
		var splits []*plan.Splits
		for seed := range uint64(hosts) {
			splits = append(splits, plan.NewSplits(rand.New(rand.NewPCG(seed, 2))))
		}
		parts := splitParts()
		counts := make(map[string]int)
		for i := range calls {
			p := plan.Plan{Routes: []plan.Route{route("other", "h", "/o/", plan.Part{Service: "x", Weight: float64(i)}), route("r", "h", "/r/", parts...)}}
			for _, s := range splits {
				s.Retain(&p)
			}
			name, _ := splits[i%hosts].Pick(&p.Routes[1])
			counts[name]++
		}
		for _, part := range parts {
			gomega.Expect(float64(counts[part.Service])/calls).To(gomega.BeNumerically("~", part.Weight/100, 0.02), part.Service)
		}
	})

	// Guards against parts that get none of the first calls of many hosts.
	ginkgo.It("begin with each part as often as its weight says", func() {
		const hosts = 2000
		parts := splitParts()
		r, counts := route("r", "h", "/r/", parts...), make(map[string]int)
		for seed := range uint64(hosts) {
			name, _ := plan.NewSplits(rand.New(rand.NewPCG(seed, 3))).Pick(&r)
			counts[name]++
		}
		for _, part := range parts {
			gomega.Expect(float64(counts[part.Service])/hosts).To(gomega.BeNumerically("~", part.Weight/100, 0.04), part.Service)
		}
	})

	ginkgo.It("follow a route whose weights change, and forget one that is gone", func() {
		splits := plan.NewSplits(rand.New(rand.NewPCG(1, 4)))
		r := route("r", "h", "/r/", plan.Part{Service: "a", Weight: 1}, plan.Part{Service: "b", Weight: 1})
		_, ok := splits.Pick(&r)
		gomega.Expect(ok).To(gomega.BeTrue())
		r.Parts = []plan.Part{{Service: "a"}, {Service: "b", Weight: 1}, {Service: "c"}}
		for range 20 {
			name, _ := splits.Pick(&r)
			gomega.Expect(name).To(gomega.Equal("b"))
		}
		splits.Retain(&plan.Plan{})
		name, _ := splits.Pick(&r)
		gomega.Expect(name).To(gomega.Equal("b"))
	})

	ginkgo.It("pick nothing when no part has a weight", func() {
		r := route("r", "h", "/", plan.Part{Service: "a"})
		_, ok := plan.NewSplits(rand.New(rand.NewPCG(1, 1))).Pick(&r)
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})

// splitParts returns the parts of a split with small ones.
func splitParts() []plan.Part {
	return []plan.Part{{Service: "a", Weight: 70}, {Service: "b", Weight: 10}, {Service: "c", Weight: 10}, {Service: "d", Weight: 10}}
}

func BenchmarkFind(b *testing.B) {
	p := plan.Plan{}
	for i := range 200 {
		p.Routes = append(p.Routes, route("r", "shop.example", "/a/"+string(rune('a'+i%26))+"/"))
	}
	table := plan.NewTable(&p)
	b.ReportAllocs()
	for b.Loop() {
		if table.Find("shop.example", "/a/z/x") == nil {
			b.Fatal("no route")
		}
	}
}
