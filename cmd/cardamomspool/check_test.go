package main

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"cardamomspool/core/check"
)

// Guards against scripts that take warnings for errors, or a comparison that could not be
// made for a clean one or for warnings.
func TestCheckHasExitCodesOfItsOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(exitCode(checkError{check.ExitWarnings})).To(gomega.Equal(1))
	g.Expect(exitCode(checkError{check.ExitErrors})).To(gomega.Equal(2))
	g.Expect(exitCode(errors.Wrap(errNotCompared, "no answer"))).To(gomega.Equal(2))
}
