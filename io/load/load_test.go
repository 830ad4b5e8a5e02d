package load_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/load"
	"cardamomspool/io/stub"
)

func TestRunCountsAnswersAndMeasuresLatency(t *testing.T) {
	g := gomega.NewWithT(t)
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, r.Header.Get(stub.HeaderCall))
	}))
	defer echo.Close()
	sum := load.New([]string{echo.URL}, 40, load.WithRate(100)).Run(context.Background())
	g.Expect(sum.Answered).To(gomega.Equal(40))
	g.Expect(sum.WrongAnswers).To(gomega.BeZero())
	g.Expect(sum.P50).To(gomega.BeNumerically(">", 0))
}
