package wire

import (
	"net/netip"
	"time"

	"cardamomspool/core/member"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

type (
	// Announcement is what a target sends to announce itself.
	Announcement struct {
		// Service is the name of the service.
		Service string `json:"service"`
		// Target is the name of the target, unique within the service.
		Target string `json:"target"`
		// Address is where the target takes calls.
		Address netip.AddrPort `json:"address"`
		// DataCentre is where the target runs.
		DataCentre string `json:"data_centre"`
		// State is cold, ready, draining or leaving.
		State string `json:"state"`
		// Incarnation grows with every start of the target; the start time
		// in nanoseconds will do.
		Incarnation uint64 `json:"incarnation"`
		// Slots is the number of calls that the target runs at once; 0 takes
		// the service document's number.
		Slots int `json:"slots"`
	}

	// AnnouncementReply is the answer to an accepted announcement.
	AnnouncementReply struct {
		// Interval is the time to wait before the next announcement.
		Interval strict.Duration `json:"interval"`
		// AnnounceAddress is where to send it.
		AnnounceAddress netip.AddrPort `json:"announce_address"`
	}
)

// The headers of the system. Entries strip them from callers' requests.
const (
	// Prefix starts every header of the system.
	Prefix = "Spool-"
	// HeaderOutcome tells a caller, or an entry, what became of a call that
	// has no answer: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Spool-Outcome"
	// HeaderReason says why a call was refused.
	HeaderReason = "Spool-Reason"
	// HeaderCall identifies a call in logs of entries and targets.
	HeaderCall = "Spool-Call"
	// HeaderDeadline gives a target the time left in milliseconds.
	HeaderDeadline = "Spool-Deadline-Ms"
	// HeaderLoad carries a target's report on its answers.
	HeaderLoad = "Spool-Load"
	// HeaderState carries a target's state on its answers.
	HeaderState = "Spool-State"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

const (
	// AnnouncePath takes announcements at an entry's announce address.
	AnnouncePath = "/v1/announce"
	// MaxAnnouncementBytes bounds an announcement.
	MaxAnnouncementBytes = 4 << 10

	maxTargetName = 128
	maxSlots      = spec.MaxSlots
)

// ParseAnnouncement reads and checks an announcement. The record's voucher is
// left empty.
func ParseAnnouncement(data []byte) (member.Record, strict.Faults) {
	var a Announcement
	faults := strict.Decode(data, &a)
	if !spec.ValidName(a.Service) {
		faults.Add("service", "is %q, must be a service name", a.Service)
	}
	if a.Target == "" || len(a.Target) > maxTargetName {
		faults.Add("target", "must have 1 to %d characters", maxTargetName)
	}
	if !a.Address.IsValid() {
		faults.Add("address", `must be an IP number with a port, as "127.0.0.1:9000"`)
	}
	state, ok := member.ParseState(a.State)
	if !ok {
		faults.Add("state", "is %q, must be one of cold, ready, draining, leaving", a.State)
	}
	if a.Incarnation == 0 {
		faults.Add("incarnation", "must be 1 or more")
	}
	faults.Range("slots", a.Slots, 0, maxSlots)
	return member.Record{
		Key:     member.Key{Service: a.Service, Target: a.Target},
		Address: a.Address, DataCentre: a.DataCentre, State: state, Incarnation: a.Incarnation, Slots: a.Slots,
	}, faults
}

// RetryAfterSeconds returns d in whole seconds, rounded up, at least 1, as
// the Retry-After header wants it.
func RetryAfterSeconds(d time.Duration) int {
	return int(max((d+time.Second-1)/time.Second, 1))
}
