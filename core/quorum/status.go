package quorum

import "time"

type (
	// Status tells how one control host stands, as it sees itself.
	Status struct {
		// Host is the name of the control host.
		Host string `json:"host"`
		// Incarnation identifies the host's life since it last lost its disk.
		Incarnation string `json:"incarnation"`
		// Voting is false while the host recovers: it then neither promises
		// nor accepts, and takes no change.
		Voting bool `json:"voting"`
		// Recovery says why the host recovers; empty when it votes.
		Recovery string `json:"recovery,omitempty"`
		// Current reports that a majority has lately confirmed that the host
		// has learnt all that they have.
		Current bool `json:"current"`
		// Registers is the number of documents held, deleted ones included.
		Registers int `json:"registers"`
		// Majority is the number of control hosts that a change needs.
		Majority int `json:"majority"`
		// Reachable is the number of control hosts heard lately, this one
		// included.
		Reachable int `json:"reachable"`
		// Peers lists the other control hosts.
		Peers []PeerStatus `json:"peers"`
		// DiskSyncs counts the synced writes since the start.
		DiskSyncs int64 `json:"disk_syncs"`
		// DiskFailures counts the writes that failed since the start.
		DiskFailures int64 `json:"disk_failures"`
		// Proposals counts the changes and reads proposed since the start.
		Proposals int64 `json:"proposals"`
		// BallotsLost counts the ballots outbid by others since the start.
		BallotsLost int64 `json:"ballots_lost"`
		// Recoveries counts the recoveries ended since the start.
		Recoveries int64 `json:"recoveries"`
	}

	// PeerStatus tells when another control host was last heard.
	PeerStatus struct {
		// Host is its name.
		Host string `json:"host"`
		// Reachable reports whether it answered lately.
		Reachable bool `json:"reachable"`
		// LastContact is when it last answered; zero when never.
		LastContact time.Time `json:"last_contact,omitzero"`
		// Incarnation is the newest one known of it; empty when none.
		Incarnation string `json:"incarnation,omitempty"`
	}
)
