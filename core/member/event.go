package member

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

type (
	// Event is the sealed set of inputs of a Node.
	Event interface{ isEvent() }

	// Announce reports a target's announcement. The Node replies with one
	// Accept or Reject, at once or later.
	Announce struct {
		// ID identifies the announcement on this entry host.
		ID uint64
		// Record must be valid; its owner, epoch and flags are ignored.
		Record Record
	}

	// Observe reports the state that a target sent in a response to a call.
	Observe struct {
		Key
		// Incarnation is the incarnation that responded.
		Incarnation uint64
		// State is the state in the response.
		State State
	}

	// Evidence reports when a target last responded to a call of this entry
	// host, and when an attempt of such a call last failed; zero means never.
	Evidence struct {
		Key
		Answered time.Time
		Failed   time.Time
	}

	// Receive reports a message from another entry host. The Node replies with
	// one Respond.
	Receive struct {
		From    string
		Message Message
	}

	// SendReplied reports the reply to a Send.
	SendReplied struct {
		// ID is the ID of the Send.
		ID    uint64
		Reply Reply
	}

	// SendFailed reports that a Send got no reply. The message may have arrived.
	SendFailed struct {
		// ID is the ID of the Send.
		ID uint64
	}

	// Tick runs timeouts and periodic work that is due.
	Tick struct{}

	// Action is the sealed set of outputs of a Node.
	Action interface{ isAction() }

	// Accept accepts an announcement.
	Accept struct {
		// ID is the ID of the Announce.
		ID uint64
		// Interval is the time until the next announcement is due.
		Interval time.Duration
		// Lease is the time without an announcement after which the target is
		// suspect.
		Lease time.Duration
		// Others are announce addresses of other entry hosts, for use if this
		// one does not respond.
		Others []netip.AddrPort
	}

	// Reject rejects an announcement.
	Reject struct {
		// ID is the ID of the Announce.
		ID uint64
		// Err is ErrSuperseded, ErrStateRegression, ErrProperties, ErrFull or
		// ErrIsolated. The announcement has changed the record only if Err is
		// ErrIsolated.
		Err error
		// Current is the current record of the target, if there is one.
		Current Record
	}

	// Send sends a message to another entry host. The caller reports the
	// outcome with one SendReplied or SendFailed.
	Send struct {
		ID      uint64
		To      string
		Message Message
	}

	// Respond replies to the message of a Receive.
	Respond struct {
		Reply Reply
	}

	// TargetsChanged reports that the targets of a service or their properties
	// may have changed.
	TargetsChanged struct {
		Service string
	}

	// RecordChanged reports a record that was added or changed.
	RecordChanged struct {
		Record Record
	}

	// Message is the sealed set of requests between entry hosts.
	Message interface{ isMessage() }

	// Spread carries records that changed.
	Spread struct {
		Records []Record
	}

	// Digest asks whether the receiver's table is equal to the sender's.
	Digest struct {
		// Sum is the hash of the sender's table, as from Node.Sum.
		Sum uint64
		// AnnounceAddress is the sender's address for announcements.
		AnnounceAddress netip.AddrPort
	}

	// Repair carries all records of some buckets and asks for those of the
	// receiver's records in the same buckets that differ.
	Repair struct {
		// Mask selects the buckets: bit b, the lowest being 0, is set for bucket b.
		Mask    uint64
		Records []Record
	}

	// Reply is the sealed set of replies to messages.
	Reply interface{ isReply() }

	// SpreadReply acknowledges a Spread.
	SpreadReply struct{}

	// DigestReply is the reply to a Digest.
	DigestReply struct {
		// Same reports whether the tables are equal.
		Same bool
		// Sums are the hashes of the buckets; empty if Same is true.
		Sums []uint64
		// AnnounceAddress is the sender's address for announcements.
		AnnounceAddress netip.AddrPort
	}

	// RepairReply carries the sender's records in the buckets of the Repair
	// that differ from those in the Repair or are missing there.
	RepairReply struct {
		Records []Record
	}
)

var (
	// ErrSuperseded reports that a higher incarnation of the target has
	// announced itself.
	ErrSuperseded = errors.New("member: a greater incarnation of the target has announced itself")
	// ErrStateRegression reports a state below the current one of the
	// incarnation.
	ErrStateRegression = errors.New("member: the incarnation has already reached a later state")
	// ErrProperties reports a change of address, data centre or slots within
	// an incarnation.
	ErrProperties = errors.New("member: address, data_centre and slots cannot change within an incarnation")
	// ErrFull reports that the table holds MaxTargets targets.
	ErrFull = errors.New("member: the table of targets is full")
	// ErrIsolated reports that no other entry host has acknowledged a leaving
	// target within AckTimeout.
	ErrIsolated = errors.New("member: no other entry host could be told in time")

	_ Event   = Announce{}
	_ Event   = Observe{}
	_ Event   = Evidence{}
	_ Event   = Receive{}
	_ Event   = SendReplied{}
	_ Event   = SendFailed{}
	_ Event   = Tick{}
	_ Action  = Accept{}
	_ Action  = Reject{}
	_ Action  = Send{}
	_ Action  = Respond{}
	_ Action  = TargetsChanged{}
	_ Action  = RecordChanged{}
	_ Message = Spread{}
	_ Message = Digest{}
	_ Message = Repair{}
	_ Reply   = SpreadReply{}
	_ Reply   = DigestReply{}
	_ Reply   = RepairReply{}
)

func (Announce) isEvent()        {}
func (Observe) isEvent()         {}
func (Evidence) isEvent()        {}
func (Receive) isEvent()         {}
func (SendReplied) isEvent()     {}
func (SendFailed) isEvent()      {}
func (Tick) isEvent()            {}
func (Accept) isAction()         {}
func (Reject) isAction()         {}
func (Send) isAction()           {}
func (Respond) isAction()        {}
func (TargetsChanged) isAction() {}
func (RecordChanged) isAction()  {}
func (Spread) isMessage()        {}
func (Digest) isMessage()        {}
func (Repair) isMessage()        {}
func (SpreadReply) isReply()     {}
func (DigestReply) isReply()     {}
func (RepairReply) isReply()     {}
