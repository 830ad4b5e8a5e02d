package peer_test

import (
	"encoding/hex"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cardamomspool/internal/golden"
	"cardamomspool/io/peer/peerpb"
)

// Hosts of other versions must read the messages about client accounts that this one sends.
// A call without an account keeps its bytes.
func TestMessagesAboutAccountsKeepTheirForm(t *testing.T) {
	g := gomega.NewWithT(t)
	var text strings.Builder
	for _, m := range []proto.Message{
		&peerpb.ConfirmRequest{Host: "entry-1"},
		&peerpb.ConfirmReply{},
		&peerpb.ConfirmReply{Epoch: 2, PlanVersion: 300, Ended: true},
		&peerpb.CallArrive{LeftMs: 900, AimMs: 400, Rank: 1, Attempts: 2, Idempotent: true, Weight: 1, DataCentre: "lab"},
		&peerpb.CallArrive{LeftMs: 900, AimMs: 400, Rank: 1, Attempts: 2, Idempotent: true, Weight: 1, DataCentre: "lab", Account: "first"},
	} {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		text.WriteString(string(m.ProtoReflect().Descriptor().Name()) + " " + hex.EncodeToString(data) + "\n")
	}
	golden.Compare(t, "accounts", text.String())
}
