package ports_test

import (
	"net"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/ports"
)

func TestFreePortsAreDistinctAndUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	list, err := ports.Free(20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, address := range list {
		l, err := net.Listen("tcp", address.String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer l.Close()
	}
}
