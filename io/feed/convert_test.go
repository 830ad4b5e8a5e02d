package feed

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
)

// Guards against a target from another host that this one cannot store or send on.
func FuzzTargetOfAnotherHost(f *testing.F) {
	for _, born := range []uint64{0, 1, 253402300800000, 1e18, math.MaxInt64, math.MaxUint64} {
		f.Add("t", "s", "10.0.0.1:80", "dc", uint32(member.Ready), uint32(4), born, uint64(1))
	}
	f.Add("\xff", "s", "10.0.0.1:80", "dc", uint32(member.Ready), uint32(4), uint64(1), uint64(1))
	f.Add("t", "\x00", "10.0.0.1:70000", "dc", uint32(math.MaxUint32), uint32(math.MaxUint32), uint64(1), uint64(math.MaxUint64))
	f.Fuzz(func(t *testing.T, id, service, address, dataCentre string, state, slots uint32, born, sequence uint64) {
		now := time.Now()
		target, err := toTarget(&peerpb.TargetState{
			Id: id, Service: service, Address: address, DataCentre: dataCentre, State: state, Slots: slots, Born: born, Sequence: sequence,
		}, now)
		if err != nil {
			return
		}
		var (
			text   []byte
			stored roster.Target
		)
		if text, err = json.Marshal(target); err != nil {
			t.Fatalf("%+v cannot be stored: %v", target, err)
		}
		if err = json.Unmarshal(text, &stored); err != nil || !stored.Born.Equal(target.Born) || stored.ID != id || stored.Address != target.Address {
			t.Fatalf("%+v is read back as %+v: %v", target, stored, err)
		}
		if _, err = proto.Marshal(fromTarget(target, now)); err != nil {
			t.Fatalf("%+v cannot be sent: %v", target, err)
		}
	})
}
