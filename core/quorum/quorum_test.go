package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
)

func TestApplyResendReturnsFirstResult(t *testing.T) {
	g := gomega.NewWithT(t)
	v, first, err := quorum.Apply(quorum.Value{}, quorum.Change{Name: "s", Request: "r1", Body: []byte(`{}`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	v, _, err = quorum.Apply(v, quorum.Change{Name: "s", Base: 1, Request: "r2", Body: []byte(`{}`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, answer, err := quorum.Apply(v, quorum.Change{Name: "s", Request: "r1", Body: []byte(`{}`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer).To(gomega.Equal(first))
	g.Expect(again.Revision).To(gomega.Equal(uint64(2)))
}

func TestApplyRejectsSecondOfTwoChangesToOneRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	v, _, err := quorum.Apply(quorum.Value{}, quorum.Change{Name: "s", Request: "a", Body: []byte(`1`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, err = quorum.Apply(v, quorum.Change{Name: "s", Request: "b", Body: []byte(`2`)})
	var conflict *quorum.ConflictError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(conflict))
	g.Expect(err.(*quorum.ConflictError).Current.Body).To(gomega.BeEquivalentTo(`1`))
}

func TestAcceptorRejectsBallotsBelowPromise(t *testing.T) {
	g := gomega.NewWithT(t)
	var a quorum.Acceptor
	low, high := quorum.Ballot{Round: 1, Host: "a"}, quorum.Ballot{Round: 1, Host: "b"}
	promised, _ := a.Prepare("s", high)
	g.Expect(promised).To(gomega.BeTrue())
	v := quorum.Value{Versioned: spec.Versioned{Name: "s", Revision: 1}}
	ok, _ := a.Accept(low, v)
	g.Expect(ok).To(gomega.BeFalse())
	promised, _ = a.Prepare("s", low)
	g.Expect(promised).To(gomega.BeFalse())
	ok, _ = a.Accept(high, v)
	g.Expect(ok).To(gomega.BeTrue())
}

func TestApplyRejectsReusedRequestID(t *testing.T) {
	g := gomega.NewWithT(t)
	v, first, err := quorum.Apply(quorum.Value{}, quorum.Change{Name: "s", Request: "a", Body: []byte(`1`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	same, _, err := quorum.Apply(v, quorum.Change{Name: "s", Request: "a", Body: []byte(`2`)})
	var reused *quorum.RequestReusedError
	g.Expect(errors.As(err, &reused)).To(gomega.BeTrue())
	g.Expect(reused.First).To(gomega.Equal(first))
	g.Expect(same.Revision).To(gomega.Equal(uint64(1)))
}

func TestApplyRejectsEvictedRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var v quorum.Value
	for i := range quorum.MaxRequests + 1 {
		var err error
		v, _, err = quorum.Apply(v, quorum.Change{Name: "s", Base: uint64(i), Request: fmt.Sprint(i), Body: []byte(`1`)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(v.Requests).To(gomega.HaveLen(quorum.MaxRequests))
	_, _, err := quorum.Apply(v, quorum.Change{Name: "s", Request: "0", Body: []byte(`1`)})
	var conflict *quorum.ConflictError
	g.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
}

func TestRecoveryQuorumIntersectsEveryMajority(t *testing.T) {
	g := gomega.NewWithT(t)
	for n := 2; n <= 7; n++ {
		others := quorum.Majority(n) - 1 // hosts of a majority besides the one that recovers
		g.Expect(quorum.RecoveryQuorum(n)+others).To(gomega.BeNumerically(">", n-1), "%d hosts", n)
	}
}

// A host may crash after it marked its disk as damaged and before it saved a
// new incarnation. It has then voted in the incarnation on its disk.
func TestStartOnDamagedDiskUsesNewIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	node, err := quorum.NewNode("a", []string{"a", "b", "c"}, rand.New(rand.NewPCG(1, 1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	old := quorum.Incarnation{Number: 4, Nonce: 4}
	out := node.Start(time.Time{}, quorum.Saved{Identity: &quorum.Identity{Incarnation: old, Stage: quorum.StageDamaged}})
	g.Expect(out.Saves).NotTo(gomega.BeEmpty())
	saved := out.Saves[len(out.Saves)-1].(quorum.Identity)
	g.Expect(saved.Incarnation.Number).To(gomega.Equal(old.Number + 1))
	g.Expect(saved.Stage).To(gomega.Equal(quorum.StageDamaged))
}

func TestStartWithMissingRegisterIsDamaged(t *testing.T) {
	g := gomega.NewWithT(t)
	node, err := quorum.NewNode("a", []string{"a", "b", "c"}, rand.New(rand.NewPCG(1, 1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	node.Start(time.Time{}, quorum.Saved{
		Identity:  &quorum.Identity{Incarnation: quorum.Incarnation{Number: 1}, Stage: quorum.StageVoting, Registers: []string{"x", "y"}},
		Registers: []quorum.Register{{Name: "x"}},
	})
	g.Expect(node.Status(time.Time{}).Recovery).To(gomega.Equal("damaged"))
}
