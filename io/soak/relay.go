package soak

import (
	"sync"

	"cardamomspool/io/relay"
)

// disturbedRelay is a relay whose disturbances are recorded.
type disturbedRelay struct {
	*relay.Relay
	name string

	mu           sync.Mutex
	disturbances []interval
}
