package keys_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/internal/golden"
)

func TestKeys(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Keys")
}

// Guards against callers that are let in with something that is not their key, or refused
// because of the spelling of the scheme.
var _ = ginkgo.DescribeTable("The key of a call", func(values []string, key string, want error) {
	digest, err := keys.Read(values)
	if want != nil {
		gomega.Expect(err).To(gomega.MatchError(want))
		gomega.Expect(digest).To(gomega.BeZero())
		for _, v := range values {
			if v != "" {
				gomega.Expect(err.Error()).NotTo(gomega.ContainSubstring(v), "an error shows the field")
			}
		}
		return
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(digest).To(gomega.Equal(keys.Of(key)))
},
	ginkgo.Entry("alone", []string{"Bearer k-1"}, "k-1", nil),
	ginkgo.Entry("with a scheme in lower case", []string{"bearer k-1"}, "k-1", nil),
	ginkgo.Entry("after several spaces", []string{"Bearer   k-1"}, "k-1", nil),
	ginkgo.Entry("of signs", []string{"Bearer k-1~+/=="}, "k-1~+/==", nil),
	ginkgo.Entry("without a field", nil, "", keys.ErrMissing),
	ginkgo.Entry("in two fields", []string{"Bearer k-1", "Bearer k-2"}, "", keys.ErrRepeated),
	ginkgo.Entry("in two equal fields", []string{"Bearer k-1", "Bearer k-1"}, "", keys.ErrRepeated),
	ginkgo.Entry("in an empty field", []string{""}, "", keys.ErrMalformed),
	ginkgo.Entry("without a scheme", []string{"k-1"}, "", keys.ErrMalformed),
	ginkgo.Entry("without a key", []string{"Bearer"}, "", keys.ErrMalformed),
	ginkgo.Entry("empty", []string{"Bearer "}, "", keys.ErrMalformed),
	ginkgo.Entry("with another scheme", []string{"Basic azpr"}, "", keys.ErrMalformed),
	ginkgo.Entry("followed by another one", []string{"Bearer k-1, Bearer k-2"}, "", keys.ErrMalformed),
	ginkgo.Entry("with a tab", []string{"Bearer\tk-1"}, "", keys.ErrMalformed),
	ginkgo.Entry("with a control character", []string{"Bearer k\x01"}, "", keys.ErrMalformed),
	ginkgo.Entry("with bytes above ASCII", []string{"Bearer k\u00e9"}, "", keys.ErrMalformed),
)

// Guards against keys or digests in log lines and messages.
var _ = ginkgo.It("A digest does not show in log lines or messages", func() {
	digest := keys.Of("k-1")
	text, err := digest.MarshalText()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var logs bytes.Buffer
	slog.New(slog.NewJSONHandler(&logs, nil)).Info("x", "key", digest)
	slog.New(slog.NewTextHandler(&logs, nil)).Info("x", "key", digest)
	fmt.Fprintf(&logs, "%v %s", digest, digest)
	gomega.Expect(logs.String()).NotTo(gomega.ContainSubstring(string(text)))
	gomega.Expect(logs.String()).NotTo(gomega.ContainSubstring("k-1"))
})

// Hosts of other versions must read the digests that this one sends.
func TestDigestKeepsItsForm(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := json.Marshal(keys.Of("k-1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	golden.Compare(t, "digest", string(text)+"\n")
	var read keys.Digest
	g.Expect(json.Unmarshal(text, &read)).To(gomega.Succeed())
	g.Expect(read).To(gomega.Equal(keys.Of("k-1")))
	g.Expect(json.Unmarshal([]byte(`"AAAA"`), &read)).NotTo(gomega.Succeed())
}

// newAccounts returns n accounts with two keys each.
func newAccounts(n int) []keys.Account {
	list := make([]keys.Account, n)
	for i := range list {
		list[i] = keys.Account{
			Name: fmt.Sprintf("account-%d", i), Keys: []keys.Digest{keys.Of(fmt.Sprintf("old-%d", i)), keys.Of(fmt.Sprintf("new-%d", i))},
		}
	}
	return list
}

var _ = ginkgo.It("A table finds the accounts of all keys and no others", func() {
	table := keys.NewTable(newAccounts(82))
	for i := range 82 {
		for _, key := range []string{"old", "new"} {
			a := table.Find(keys.Of(fmt.Sprintf("%s-%d", key, i)))
			gomega.Expect(a).NotTo(gomega.BeNil())
			gomega.Expect(a.Name).To(gomega.Equal(fmt.Sprintf("account-%d", i)))
		}
	}
	gomega.Expect(table.Find(keys.Of("other"))).To(gomega.BeNil())
	gomega.Expect(new(keys.Table).Find(keys.Of("old-1"))).To(gomega.BeNil())
})

// Guards against a lookup that costs more with more accounts, or that feeds the collector.
func TestLookupTakesLittleTimeAndNoMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, n := range []int{82, 1000} {
		table, digest := keys.NewTable(newAccounts(n)), keys.Of("new-7")
		g.Expect(testing.AllocsPerRun(100, func() {
			if table.Find(digest) == nil {
				t.Error("no account")
			}
		})).To(gomega.BeZero())
		const lookups = 10_000
		best := time.Hour
		for range 5 { // The best run: the machine may do something else.
			begin := time.Now()
			for range lookups {
				table.Find(digest)
			}
			best = min(best, time.Since(begin)/lookups)
		}
		g.Expect(best).To(gomega.BeNumerically("<", time.Microsecond), "%d accounts", n)
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{82, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			table, digest := keys.NewTable(newAccounts(n)), keys.Of("new-7")
			b.ReportAllocs()
			for b.Loop() {
				if table.Find(digest) == nil {
					b.Fatal("no account")
				}
			}
		})
	}
}

func BenchmarkReadAndFind(b *testing.B) {
	table, values := keys.NewTable(newAccounts(1000)), []string{"Bearer new-7"}
	b.ReportAllocs()
	for b.Loop() {
		digest, err := keys.Read(values)
		if err != nil || table.Find(digest) == nil {
			b.Fatal("no account")
		}
	}
}

// BenchmarkTableMemory reports the memory that a table of a thousand accounts with two keys
// each keeps, accounts included.
func BenchmarkTableMemory(b *testing.B) {
	const copies = 16
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var tables [copies]*keys.Table
		for i := range tables {
			tables[i] = keys.NewTable(newAccounts(1000))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/copies, "B/table")
		runtime.KeepAlive(&tables)
	}
}

func FuzzRead(f *testing.F) {
	f.Add("Bearer k-1")
	f.Add("bearer  k")
	f.Fuzz(func(t *testing.T, value string) {
		digest, err := keys.Read([]string{value})
		if err != nil {
			return
		}
		_, key, _ := strings.Cut(value, " ")
		if digest != keys.Of(strings.TrimLeft(key, " ")) {
			t.Fatalf("%q: another digest", value)
		}
	})
}
