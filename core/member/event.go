package member

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

type (
	// Event is the sealed set of inputs of a Node.
	Event interface{ isEvent() }

	// Announce reports a target's announcement. The Node answers it once with
	// Accept or Reject, at once or later.
	Announce struct {
		// ID identifies the announcement on this entry host.
		ID uint64
		// Record is valid; its voucher, epoch and flags are passed over.
		Record Record
	}

	// Observe reports a state that a target wrote on its own answer to a
	// call.
	Observe struct {
		Key
		// Incarnation is the one that answered.
		Incarnation uint64
		// State is what it wrote.
		State State
	}

	// Evidence reports when a target last answered a call of this entry host
	// and when an attempt at it last failed; zero times mean never.
	Evidence struct {
		Key
		Answered time.Time
		Failed   time.Time
	}

	// Receive reports a message from another entry host. The Node answers it
	// with one Respond among the actions.
	Receive struct {
		From    string
		Message Message
	}

	// Replied reports the reply to a Send.
	Replied struct {
		// ID is the Send's.
		ID    uint64
		Reply Reply
	}

	// Failed reports that a Send has no reply. The message may have arrived.
	Failed struct {
		// ID is the Send's.
		ID uint64
	}

	// Tick lets time pass.
	Tick struct{}

	// Action is the sealed set of outputs of a Node.
	Action interface{ isAction() }

	// Accept answers an announcement.
	Accept struct {
		// ID is the Announce's.
		ID uint64
		// Interval is the time until the next announcement is due.
		Interval time.Duration
		// Lease is the time without an announcement after which the target is
		// suspect.
		Lease time.Duration
		// Others are announce addresses of other entry hosts, for use when
		// this one does not answer.
		Others []netip.AddrPort
	}

	// Reject answers an announcement that changed nothing.
	Reject struct {
		// ID is the Announce's.
		ID uint64
		// Err is one of ErrSuperseded, ErrStateBack, ErrProperties, ErrFull
		// and ErrIsolated.
		Err error
		// Current is the record in force, if there is one.
		Current Record
	}

	// Send hands a message to another entry host. It is followed by one
	// Replied or Failed.
	Send struct {
		ID      uint64
		To      string
		Message Message
	}

	// Respond answers the message of a Receive.
	Respond struct {
		Reply Reply
	}

	// Retarget reports that the usable targets of a service have changed.
	Retarget struct {
		Service string
	}

	// Changed reports a record that was added or changed.
	Changed struct {
		Record Record
	}

	// Message is the sealed set of requests between entry hosts.
	Message interface{ isMessage() }

	// Spread hands over records that changed.
	Spread struct {
		Records []Record
	}

	// Digest asks whether the receiver's table is equal to the sender's.
	Digest struct {
		// Sum is the hash of the sender's table.
		Sum uint64
		// AnnounceAddress is where the sender takes announcements.
		AnnounceAddress netip.AddrPort
	}

	// Repair hands over all records of some buckets and asks for those of the
	// receiver that differ.
	Repair struct {
		// Mask has one bit set for each bucket.
		Mask    uint64
		Records []Record
	}

	// Reply is the sealed set of answers to messages.
	Reply interface{ isReply() }

	// SpreadReply acknowledges a Spread.
	SpreadReply struct{}

	// DigestReply answers a Digest.
	DigestReply struct {
		// Same says that the tables are equal.
		Same bool
		// Sums are the hashes of the buckets; empty when Same.
		Sums []uint64
		// AnnounceAddress is where the replier takes announcements.
		AnnounceAddress netip.AddrPort
	}

	// RepairReply carries the records that differed.
	RepairReply struct {
		Records []Record
	}
)

var (
	// ErrSuperseded reports that a greater incarnation has announced itself.
	ErrSuperseded = errors.New("member: a greater incarnation of the target has announced itself")
	// ErrStateBack reports a state below the one that the incarnation had.
	ErrStateBack = errors.New("member: the incarnation has already reached a later state")
	// ErrProperties reports another address, data centre or number of slots
	// within an incarnation.
	ErrProperties = errors.New("member: address, data_centre and slots cannot change within an incarnation")
	// ErrFull reports that no more targets can be held.
	ErrFull = errors.New("member: the table of targets is full")
	// ErrIsolated reports that no other entry host has acknowledged a leaving
	// target in time.
	ErrIsolated = errors.New("member: no other entry host could be told in time")

	_ Event   = Announce{}
	_ Event   = Observe{}
	_ Event   = Evidence{}
	_ Event   = Receive{}
	_ Event   = Replied{}
	_ Event   = Failed{}
	_ Event   = Tick{}
	_ Action  = Accept{}
	_ Action  = Reject{}
	_ Action  = Send{}
	_ Action  = Respond{}
	_ Action  = Retarget{}
	_ Action  = Changed{}
	_ Message = Spread{}
	_ Message = Digest{}
	_ Message = Repair{}
	_ Reply   = SpreadReply{}
	_ Reply   = DigestReply{}
	_ Reply   = RepairReply{}
)

func (Announce) isEvent()    {}
func (Observe) isEvent()     {}
func (Evidence) isEvent()    {}
func (Receive) isEvent()     {}
func (Replied) isEvent()     {}
func (Failed) isEvent()      {}
func (Tick) isEvent()        {}
func (Accept) isAction()     {}
func (Reject) isAction()     {}
func (Send) isAction()       {}
func (Respond) isAction()    {}
func (Retarget) isAction()   {}
func (Changed) isAction()    {}
func (Spread) isMessage()    {}
func (Digest) isMessage()    {}
func (Repair) isMessage()    {}
func (SpreadReply) isReply() {}
func (DigestReply) isReply() {}
func (RepairReply) isReply() {}
