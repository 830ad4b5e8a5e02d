package quorum

type (
	// Message is the sealed set of messages between control hosts: *Prepare,
	// *Promise, *Accept, *Accepted, *Query, *Answer, *Learn, *Fetch, *Values,
	// *Recover and *Snapshot.
	Message interface {
		message()
	}

	// Envelope carries a message and the incarnations that its sender knows.
	Envelope struct {
		// From is the sending control host.
		From string
		// To is the receiving control host.
		To string
		// Incarnation is the incarnation of the sender.
		Incarnation Incarnation
		// ClusterDigest is the digest of the sender's list of control hosts and
		// epoch. Hosts ignore messages with another digest.
		ClusterDigest uint64
		// Known holds the newest incarnation of every control host that the
		// sender knows.
		Known Incarnations
		// Message is the payload.
		Message Message
	}

	// Prepare requests a promise to reject ballots below Ballot.
	Prepare struct {
		Name   string
		Ballot Ballot
		// Version is the version of the sender's change; 0 if it has none. Hosts with
		// changes of lower versions let the sender go first.
		Version uint64
	}

	// Promise is the reply to a Prepare.
	Promise struct {
		Name   string
		Ballot Ballot
		// OK is false if Promised was not below Ballot.
		OK bool
		// Promised is the highest ballot that the sender has promised.
		Promised Ballot
		// Accepted is the ballot under which Value was accepted.
		Accepted Ballot
		Value    Value
	}

	// Accept requests that Value be stored under Ballot.
	Accept struct {
		Ballot Ballot
		Value  Value
	}

	// Accepted is the reply to an Accept.
	Accepted struct {
		Name   string
		Ballot Ballot
		// OK is false if Promised is above Ballot.
		OK bool
		// Promised is the highest ballot that the sender has promised.
		Promised Ballot
	}

	// Query requests the accepted value of a document.
	Query struct {
		Name string
		// Ticket is the number that the sender gave to the read; the Answer
		// repeats it.
		Ticket uint64
	}

	// Answer is the reply to a Query.
	Answer struct {
		Name string
		// Ticket is the Ticket of the Query.
		Ticket uint64
		// Accepted is the ballot under which the sender accepted Value; zero if
		// it has accepted none.
		Accepted Ballot
		Value    Value
	}

	// Learn announces a value that a majority has accepted. It has no reply.
	Learn struct {
		Value Value
	}

	// LearntRevision is the newest revision of one document that a host has
	// learnt.
	LearntRevision struct {
		Name     string
		Revision uint64
	}

	// Fetch requests learnt values that the sender lacks. If Listed is false,
	// it only asks whether the receiver's digest of learnt values is equal.
	Fetch struct {
		// Sequence numbers the fetches of a sender.
		Sequence uint64
		// Digest is the digest of the names and revisions of all values that the
		// sender has learnt; unset if Listed is true.
		Digest uint64
		// Listed reports whether Learnt is set.
		Listed bool
		// Learnt holds all revisions that the sender has learnt.
		Learnt []LearntRevision
	}

	// Values is the reply to a Fetch.
	Values struct {
		// Sequence is the Sequence of the Fetch.
		Sequence uint64
		// Differ reports unequal digests and asks the receiver to fetch again
		// with Listed and Learnt set.
		Differ bool
		// Values are the learnt values that the receiver lacks.
		Values []Value
	}

	// Recover requests the full state of the receiver. It is sent by hosts that
	// do not vote.
	Recover struct {
		// Round numbers the attempts of one incarnation.
		Round uint64
	}

	// Snapshot is the reply to a Recover.
	Snapshot struct {
		// Requester is the incarnation that sent the Recover.
		Requester Incarnation
		// Round is the Round of the Recover.
		Round uint64
		// Stage is the sender's stage. Registers, Learnt and Founders are set
		// only if the sender votes.
		Stage Stage
		// Registers are the sender's registers.
		Registers []Register
		// Learnt are the values that the sender has learnt.
		Learnt []Value
		// Founders are the incarnations that bootstrapped the cluster.
		Founders Incarnations
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
