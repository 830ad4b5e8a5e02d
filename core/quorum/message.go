package quorum

type (
	// Message is what control hosts send each other: *Prepare, *Promise,
	// *Accept, *Accepted, *Query, *Answer, *Learn, *Fetch, *Values, *Recover
	// or *Snapshot.
	Message interface {
		message()
	}

	// Envelope carries a message with what its sender knows of incarnations.
	Envelope struct {
		// From is the sending control host.
		From string
		// To is the receiving control host.
		To string
		// Incarnation is the sender's.
		Incarnation Incarnation
		// Cluster is the digest of the sender's list of control hosts. Hosts
		// with different lists do not hear each other.
		Cluster uint64
		// Known holds the newest incarnation of every control host that the
		// sender has heard of.
		Known Roster
		// Message is the content.
		Message Message
	}

	// Prepare asks for the promise to accept nothing below Ballot.
	Prepare struct {
		Name   string
		Ballot Ballot
	}

	// Promise answers a Prepare.
	Promise struct {
		Name   string
		Ballot Ballot
		// OK is false when Promised outbids Ballot.
		OK       bool
		Promised Ballot
		// Accepted is the ballot of Value.
		Accepted Ballot
		Value    Value
	}

	// Accept asks to store Value under Ballot.
	Accept struct {
		Ballot Ballot
		Value  Value
	}

	// Accepted answers an Accept.
	Accepted struct {
		Name   string
		Ballot Ballot
		// OK is false when Promised outbids Ballot.
		OK       bool
		Promised Ballot
	}

	// Query asks for the accepted value of a document.
	Query struct {
		Name   string
		Ticket uint64
	}

	// Answer answers a Query.
	Answer struct {
		Name     string
		Ticket   uint64
		Accepted Ballot
		Value    Value
	}

	// Learn tells of a value that a majority holds. It has no answer.
	Learn struct {
		Value Value
	}

	// Held is the revision of one document that a host has learnt.
	Held struct {
		Name     string
		Revision uint64
	}

	// Fetch asks for learnt values. Without Held it asks only whether the
	// receiver has learnt the same.
	Fetch struct {
		// Sequence tells the fetches of a sender apart.
		Sequence uint64
		Digest   uint64
		Listed   bool
		Held     []Held
	}

	// Values answers a Fetch.
	Values struct {
		// Sequence is that of the Fetch.
		Sequence uint64
		// Differ asks the receiver to fetch again with Held.
		Differ bool
		Values []Value
	}

	// Recover asks for all that the receiver holds, on behalf of a host that
	// does not vote.
	Recover struct {
		// Round tells the attempts of one incarnation apart.
		Round uint64
	}

	// Snapshot answers a Recover.
	Snapshot struct {
		// For is the incarnation that asked.
		For Incarnation
		// Round is that of the Recover.
		Round uint64
		// Stage is the sender's; only a voting sender gives registers.
		Stage Stage
		// Registers are the sender's votes.
		Registers []Register
		// Learnt are the values that the sender has learnt.
		Learnt []Value
		// Founders are the incarnations that the cluster began with.
		Founders Roster
	}
)

func (*Prepare) message()  {}
func (*Promise) message()  {}
func (*Accept) message()   {}
func (*Accepted) message() {}
func (*Query) message()    {}
func (*Answer) message()   {}
func (*Learn) message()    {}
func (*Fetch) message()    {}
func (*Values) message()   {}
func (*Recover) message()  {}
func (*Snapshot) message() {}
