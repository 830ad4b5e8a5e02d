package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
	"cardamomspool/io/telem"
)

// A line about a call that no service takes names this host, not the caller's
// idea of one: whoever reads the logs of many hosts goes by that field.
func TestLinesNameTheHostThatWroteThem(t *testing.T) {
	g := gomega.NewWithT(t)
	var out lockedBuffer
	b := newBench(t, nil)
	b.host.log = telem.Logger(&out, slog.LevelInfo, "entry-1", "lab")
	b.host.services.Store(&serviceMap{})
	c := b.dial(t)
	answer, _ := c.call(t, keptGet)
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusNotFound))
	g.Expect(answer.Header.Get(wire.HeaderReason)).To(gomega.Equal(reasonNoService))
	var line map[string]any
	g.Expect(json.Unmarshal([]byte(strings.SplitN(out.String(), "\n", 2)[0]), &line)).To(gomega.Succeed())
	g.Expect(line["host"]).To(gomega.Equal("entry-1"))
}
