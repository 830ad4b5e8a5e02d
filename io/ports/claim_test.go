package ports_test

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/ports"
)

const (
	helperVariable = "SPOOL_PORTS_HELPER"
	// drawn is so many ports that two independent draws are certain to share some.
	drawn = 2000
	// perCall is the number of ports of one call; each holds a listener for the time
	// of the call.
	perCall = 50
)

// draw returns drawn ports.
func draw(t *testing.T) []netip.AddrPort {
	t.Helper()
	var list []netip.AddrPort
	for len(list) < drawn {
		more, err := ports.Free(perCall)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, more...)
	}
	return list
}

// Guards against ports that are used twice: by two calls in one process, before the hosts of
// the first have started, and by two processes, while hosts of one are restarted.
func TestPortsAreReturnedOnce(t *testing.T) {
	if os.Getenv(helperVariable) != "" {
		for _, address := range draw(t) {
			fmt.Println(address)
		}
		fmt.Println()
		bufio.NewReader(os.Stdin).ReadByte() //nolint:errcheck // The parent closes it, or ends.
		return
	}
	g := gomega.NewWithT(t)
	helper := exec.Command(os.Args[0], "-test.run", "^TestPortsAreReturnedOnce$")
	helper.Env = append(os.Environ(), helperVariable+"=1")
	stdin, err := helper.StdinPipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stdout, err := helper.StdoutPipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(helper.Start()).To(gomega.Succeed())
	defer func() {
		stdin.Close()
		g.Expect(helper.Wait()).To(gomega.Succeed())
	}()
	seen := make(map[string]bool)
	lines := bufio.NewScanner(stdout)
	for lines.Scan() && lines.Text() != "" {
		seen[lines.Text()] = true
	}
	g.Expect(seen).To(gomega.HaveLen(drawn))
	for _, address := range draw(t) {
		g.Expect(seen).NotTo(gomega.HaveKey(address.String()))
		seen[address.String()] = true
	}
}
