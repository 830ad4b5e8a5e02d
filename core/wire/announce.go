package wire

import (
	"net/http"
	"net/netip"
	"strconv"

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
		// Lease is the time without an announcement after which the target
		// is suspect.
		Lease strict.Duration `json:"lease"`
		// AnnounceAddress is where to send it.
		AnnounceAddress netip.AddrPort `json:"announce_address"`
		// OtherAddresses are to be tried when AnnounceAddress does not answer.
		OtherAddresses []netip.AddrPort `json:"other_addresses,omitempty"`
	}

	// AnnouncementProblem is the answer to an announcement that changed
	// nothing.
	AnnouncementProblem struct {
		// Error says why.
		Error string `json:"error"`
		// Faults names the fields that are wrong.
		Faults strict.Faults `json:"faults,omitempty"`
		// State and Incarnation are the ones in force, after a conflict.
		State       string `json:"state,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
	}
)

const (
	// AnnouncePath takes announcements at an entry's announce address.
	AnnouncePath = "/v1/announce"
	// MaxAnnouncementBytes bounds an announcement.
	MaxAnnouncementBytes = 4 << 10

	maxTargetName = 128
	maxDataCentre = 64
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
	if len(a.Target) == 0 || len(a.Target) > maxTargetName || !printable(a.Target) {
		faults.Add("target", "must have 1 to %d printable ASCII characters without spaces", maxTargetName)
	}
	if len(a.DataCentre) > maxDataCentre || !printable(a.DataCentre) {
		faults.Add("data_centre", "must have at most %d printable ASCII characters without spaces", maxDataCentre)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 || a.Address.Addr().IsUnspecified() || a.Address.Addr().IsMulticast() {
		faults.Add("address", `must be the IP number and port of one host, as "127.0.0.1:9000"`)
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

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// ParseMark reads the state that a target wrote on an answer. It reports false
// when there is none or when it does not name its incarnation.
func ParseMark(header http.Header) (state member.State, incarnation uint64, ok bool) {
	if state, ok = member.ParseState(header.Get(HeaderState)); !ok {
		return 0, 0, false
	}
	var err error
	if incarnation, err = strconv.ParseUint(header.Get(HeaderIncarnation), 10, 64); err != nil {
		return 0, 0, false
	}
	return state, incarnation, true
}
