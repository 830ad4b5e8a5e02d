package ctrl

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cardamomspool/io/peer/peerpb"
)

// errStops ends the streams of a host that stops.
var errStops = status.Error(codes.Unavailable, "control host stops")

// Place decides about the calls of an entry host until the host stops. The entry host then
// asks another control host about those that are not decided, instead of waiting for
// decisions that do not come.
func (s *fleetServer) Place(stream peerpb.Fleet_PlaceServer) error {
	if s.stop.Err() != nil {
		return errStops
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Server.Place(stream) }()
	select {
	case err := <-ended:
		return err
	case <-s.stop.Done():
		return errStops // This ends the goroutine too.
	}
}
