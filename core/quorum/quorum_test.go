package quorum_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
)

func TestApplyAnswersAResendWithTheFirstAnswer(t *testing.T) {
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

func TestApplyRefusesTheSecondOfTwoChangesToOneRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	v, _, err := quorum.Apply(quorum.Value{}, quorum.Change{Name: "s", Request: "a", Body: []byte(`1`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, err = quorum.Apply(v, quorum.Change{Name: "s", Request: "b", Body: []byte(`2`)})
	var conflict *quorum.ConflictError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(conflict))
	g.Expect(err.(*quorum.ConflictError).Current.Body).To(gomega.BeEquivalentTo(`1`))
}

func TestAcceptorKeepsItsPromise(t *testing.T) {
	g := gomega.NewWithT(t)
	var a quorum.Acceptor
	low, high := quorum.Ballot{Round: 1, Host: "a"}, quorum.Ballot{Round: 1, Host: "b"}
	p, _ := a.Prepare("s", high)
	g.Expect(p.OK).To(gomega.BeTrue())
	v := quorum.Value{Versioned: spec.Versioned{Name: "s", Revision: 1}}
	ok, _ := a.Accept(low, v)
	g.Expect(ok).To(gomega.BeFalse())
	p, _ = a.Prepare("s", low)
	g.Expect(p.OK).To(gomega.BeFalse())
	ok, _ = a.Accept(high, v)
	g.Expect(ok).To(gomega.BeTrue())
}
