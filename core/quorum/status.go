package quorum

import "time"

type (
	// Status is the state of one control host as it sees itself.
	Status struct {
		// Host is the name of the control host.
		Host string `json:"host"`
		// Incarnation identifies the state of the host's disk; it changes when
		// the disk is lost or damaged.
		Incarnation string `json:"incarnation"`
		// Voting is false while the host recovers: it then neither promises
		// nor accepts, and rejects changes.
		Voting bool `json:"voting"`
		// Recovery is blank or damaged, the stage of a host that recovers; empty
		// if it votes.
		Recovery string `json:"recovery,omitempty"`
		// Current reports whether the host votes and a majority has confirmed
		// within MaxContactAge that the host has learnt all values that the
		// majority has.
		Current bool `json:"current"`
		// Registers is the number of documents that the host has learnt,
		// including deleted ones.
		Registers int `json:"registers"`
		// Majority is the number of control hosts that must accept a change.
		Majority int `json:"majority"`
		// Reachable is the number of control hosts, including this one, from
		// which a message arrived within MaxContactAge.
		Reachable int `json:"reachable"`
		// Peers lists the other control hosts.
		Peers []PeerStatus `json:"peers"`
		// DiskSyncs counts the synced writes since the process started.
		DiskSyncs int64 `json:"disk_syncs"`
		// DiskFailures counts the failed writes since the process started.
		DiskFailures int64 `json:"disk_failures"`
		// Proposals counts the changes and reads received since the process
		// started, including rejected ones.
		Proposals int64 `json:"proposals"`
		// BallotsLost counts the ballots preempted by higher ones since the
		// process started.
		BallotsLost int64 `json:"ballots_lost"`
		// Recoveries counts the recoveries completed since the process started.
		Recoveries int64 `json:"recoveries"`
	}

	// PeerStatus is the state of another control host as seen by this one.
	PeerStatus struct {
		// Host is the name of the control host.
		Host string `json:"host"`
		// Reachable reports whether a message arrived within MaxContactAge.
		Reachable bool `json:"reachable"`
		// LastContact is when the last message arrived; zero if none did.
		LastContact time.Time `json:"last_contact,omitzero"`
		// Incarnation identifies the state of the peer's disk, as in Status;
		// empty if it is unknown.
		Incarnation string `json:"incarnation,omitempty"`
	}
)
