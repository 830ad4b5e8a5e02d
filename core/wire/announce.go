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
	// Announcement is the request by which a target registers itself and renews
	// its lease.
	Announcement struct {
		// Service is the name of the service.
		Service string `json:"service"`
		// Target is the name of the target, unique within the service.
		Target string `json:"target"`
		// Address is the address at which the target accepts calls.
		Address netip.AddrPort `json:"address"`
		// DataCentre is the data centre in which the target runs.
		DataCentre string `json:"data_centre"`
		// State is cold, ready, draining or leaving.
		State string `json:"state"`
		// Incarnation increases with every start of the target; the start
		// time in nanoseconds is suitable.
		Incarnation uint64 `json:"incarnation"`
		// Slots is the number of calls that the target runs at once; 0 selects
		// the number in the service document.
		Slots int `json:"slots"`
	}

	// AnnouncementReply is the body of the answer to an accepted announcement.
	AnnouncementReply struct {
		// Interval is the time to wait before the next announcement.
		Interval strict.Duration `json:"interval"`
		// Lease is the time without an announcement after which the target
		// is suspect.
		Lease strict.Duration `json:"lease"`
		// AnnounceAddress is the address to send the next announcement to.
		AnnounceAddress netip.AddrPort `json:"announce_address"`
		// OtherAddresses lists the addresses to try when AnnounceAddress does
		// not answer.
		OtherAddresses []netip.AddrPort `json:"other_addresses,omitempty"`
	}

	// AnnouncementProblem is the body of the answer to a rejected announcement.
	AnnouncementProblem struct {
		// Error says why the announcement is rejected.
		Error string `json:"error"`
		// Faults lists the invalid fields.
		Faults strict.Faults `json:"faults,omitempty"`
		// State and Incarnation are those that the entry host has for the
		// target; set only when the announcement conflicts with them.
		State       string `json:"state,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
	}
)

const (
	// AnnouncePath is the path of announcements at the announce address of an
	// entry host.
	AnnouncePath = "/v1/announce"
	// MaxAnnouncementBytes is the largest size of an announcement in bytes.
	MaxAnnouncementBytes = 4 << 10

	maxTargetNameBytes = 128
	maxDataCentreBytes = 64
	maxSlots           = spec.MaxSlots
)

// ParseAnnouncement decodes and validates an announcement. It returns all faults;
// the record is valid only when there are none. It does not set the record's
// owner.
func ParseAnnouncement(data []byte) (member.Record, strict.Faults) {
	var a Announcement
	faults := strict.Decode(data, &a)
	if !spec.ValidName(a.Service) {
		faults.Add("service", "is %q, must be a service name", a.Service)
	}
	if len(a.Target) == 0 || len(a.Target) > maxTargetNameBytes || !printable(a.Target) {
		faults.Add("target", "must have 1 to %d printable ASCII characters without spaces", maxTargetNameBytes)
	}
	if len(a.DataCentre) > maxDataCentreBytes || !printable(a.DataCentre) {
		faults.Add("data_centre", "must have at most %d printable ASCII characters without spaces", maxDataCentreBytes)
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
	faults.CheckRange("slots", a.Slots, 0, maxSlots)
	return member.Record{
		Key:     member.Key{Service: a.Service, Target: a.Target},
		Address: a.Address, DataCentre: a.DataCentre, State: state, Incarnation: a.Incarnation, Slots: a.Slots,
	}, faults
}

// printable reports whether s has only printable ASCII characters and no spaces.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// ParseTargetState parses the state and the incarnation of a target from the header
// of its answer. It reports false when one of them is missing or invalid.
func ParseTargetState(header http.Header) (state member.State, incarnation uint64, ok bool) {
	if state, ok = member.ParseState(header.Get(HeaderState)); !ok {
		return 0, 0, false
	}
	var err error
	if incarnation, err = strconv.ParseUint(header.Get(HeaderIncarnation), 10, 64); err != nil {
		return 0, 0, false
	}
	return state, incarnation, true
}
