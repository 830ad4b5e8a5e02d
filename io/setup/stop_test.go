package setup_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

func TestStopTimeIsBounded(t *testing.T) {
	for stopTime, faulty := range map[time.Duration]bool{
		0: false, time.Second: false, time.Hour: false, -time.Second: true, 999 * time.Millisecond: true, time.Hour + 1: true,
	} {
		g := gomega.NewWithT(t)
		c := setup.DefaultControl()
		c.StopTime = strict.Duration(stopTime)
		err := c.Validate().Err() // The other settings are missing.
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(strings.Contains(err.Error(), "stop_time")).To(gomega.Equal(faulty), err.Error())
	}
}

// Earlier builds refuse fields that they do not know.
func TestUnknownStopTimeIsNotWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, v := range []any{setup.DefaultEntry(), setup.DefaultControl()} {
		data, err := json.Marshal(v)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(data)).NotTo(gomega.ContainSubstring("stop_time"))
	}
}
