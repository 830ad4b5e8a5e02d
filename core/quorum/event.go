package quorum

type (
	// EventKind is the log message of an event.
	EventKind string

	// Event is an occurrence that operators need to see in the log.
	Event struct {
		Kind EventKind
		// Host is the other host concerned, if any.
		Host string
		// Name is the document concerned, if any.
		Name string
		// Detail is additional text, if any.
		Detail string
	}
)

// Kinds of events.
const (
	EventRecovering      EventKind = "control host recovers and does not vote"
	EventRecovered       EventKind = "control host has recovered and votes"
	EventBootstrapped    EventKind = "all control hosts were blank, an empty catalogue begins"
	EventSuperseded      EventKind = "a newer incarnation of this host is known, its votes are void"
	EventBallotPreempted EventKind = "ballot outbid"
	EventStaleVote       EventKind = "vote of a former incarnation not counted"
	EventOtherCluster    EventKind = "message of a host with another list of control hosts ignored"
	EventMajorityLost    EventKind = "no contact with a majority of control hosts"
	EventMajorityFound   EventKind = "contact with a majority of control hosts"
	EventUnlearntRead    EventKind = "accepted but unlearnt value, reading it through a majority"
)
