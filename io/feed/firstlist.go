package feed

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomspool/core/roster"
	"cardamomspool/io/peer/peerpb"
)

type (
	// firstLists holds the newest firstList. It has a lock of its own, under which it reads
	// the tables of targets and changes. The zero value holds none.
	firstLists struct {
		mu   sync.Mutex
		list *firstList
	}

	// firstList is what a new follower is sent of the relayed targets. The streams that
	// begin within maxFirstListAge share it, so that it must not be modified.
	firstList struct {
		change uint64 // Number of the last change of a target.
		madeAt time.Time
		// targets are the states of all relayed targets, renewals the renewals of their
		// leases and digests their digests, in the same order.
		targets  []*peerpb.TargetState
		renewals []*peerpb.TargetHeard
		digests  []uint64
		// encodedTargets and encodedRenewals are an update that holds only targets, and
		// one that holds only renewals; nil when they could not be encoded.
		encodedTargets, encodedRenewals []byte
	}
)

// maxFirstListAge is how long streams that begin share one list while no target changes;
// the ages in it are too low by as much, which is under 1 % of roster.Lease. After a loss of
// power, more than a hundred entry hosts ask within a second.
const maxFirstListAge = 100 * time.Millisecond

// get returns the list of the targets that state relays at now.
func (f *firstLists) get(state *State, now time.Time) *firstList {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.list; l != nil && l.change == state.changes.newest() && now.Sub(l.madeAt) < maxFirstListAge {
		return l
	}
	ids, last := state.changes.since(0)
	f.list = newFirstList(state.targets.list(ids), last, now)
	return f.list
}

// newFirstList returns the list of relayed targets, of which the last change has the given
// number.
func newFirstList(relayed []roster.Target, change uint64, now time.Time) *firstList {
	l := &firstList{change: change, madeAt: now}
	for _, t := range relayed {
		l.targets = append(l.targets, fromTarget(t, now))
		l.renewals = append(l.renewals, leaseRenewal(t, now))
		l.digests = append(l.digests, digest(t))
	}
	l.encodedTargets = encodeUpdate(&peerpb.FleetUpdate{Targets: l.targets})
	l.encodedRenewals = encodeUpdate(&peerpb.FleetUpdate{Heard: l.renewals})
	return l
}

// encodeUpdate returns u in the protobuf format, or nil if a string in it is not valid.
func encodeUpdate(u *peerpb.FleetUpdate) []byte {
	data, err := proto.Marshal(u)
	if err != nil {
		return nil // The message that holds the same fields fails as well, when it is sent.
	}
	return data
}

// known reports whether a follower that holds the targets with the given digests needs only
// the renewal of the lease of the i-th target. The digest does not show that it is cold.
func (l *firstList) known(i int, held map[uint64]bool) bool {
	return held[l.digests[i]] && l.targets[i].GetWarmLeftMs() == 0
}

// addTo adds to u what a follower needs that holds the targets with the given digests, nil
// for none. It returns the encoded form of what it has added if other streams share it.
func (l *firstList) addTo(u *peerpb.FleetUpdate, held map[uint64]bool) (encoded []byte) {
	if held == nil {
		u.Targets = l.targets
		return l.encodedTargets
	}
	for i, t := range l.targets {
		if l.known(i, held) {
			u.Heard = append(u.Heard, l.renewals[i]) // Without it, the lease would expire at the follower.
		} else {
			u.Targets = append(u.Targets, t)
		}
	}
	if len(u.GetTargets()) > 0 {
		return nil
	}
	return l.encodedRenewals
}

// embed replaces the targets and renewals of u by their encoded form, if there is one. An
// encoded message may be followed by the encoded fields of another one, which are then part
// of it; unknown fields are appended as they are.
func embed(u *peerpb.FleetUpdate, encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	u.Targets, u.Heard = nil, nil
	u.ProtoReflect().SetUnknown(encoded)
}
