package wire

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"cardamomspool/core/keys"
	"cardamomspool/core/strict"
)

type (
	// Carry is what an entry host tells a carrier, which is another entry host, about
	// the attempt that it is to make.
	Carry struct {
		// Call identifies the call.
		Call string `json:"call"`
		// Service is the name of the service.
		Service string `json:"service"`
		// Target is the name of the target.
		Target string `json:"target"`
		// Incarnation is that of the target; 0 when unknown.
		Incarnation uint64 `json:"incarnation,omitempty"`
		// TimeLeft is the time until the call's deadline.
		TimeLeft strict.Duration `json:"time_left"`
		// Aim is the aim of the call; 0 for none.
		Aim strict.Duration `json:"aim,omitempty"`
		// Idempotent says that the call may run more than once.
		Idempotent bool `json:"idempotent,omitempty"`
		// Resent says that the call may have been sent to the target before.
		Resent bool `json:"resent,omitempty"`
		// Head, Content and Caller are the fields of the call's crash.ID; 0 when the host
		// is of an earlier version.
		Head    uint64 `json:"head,omitempty"`
		Content uint64 `json:"content,omitempty"`
		Caller  uint64 `json:"caller,omitempty"`
		// Key is the digest of the key with which the caller made the call; nil for a call
		// without a client account. A carrier checks it by its own plan.
		Key *keys.Digest `json:"key,omitempty"`
	}

	// CarryOutcome is what a carrier says of an attempt for which it has no answer of
	// the target; empty when the target has answered.
	CarryOutcome string
)

const (
	// HeaderCarry holds the Carry of a request to a carrier.
	HeaderCarry = "Spool-Carry"
	// HeaderCarryOutcome holds the CarryOutcome of a carrier's answer.
	HeaderCarryOutcome = "Spool-Carry-Outcome"
	// HeaderCarryReset is in a carrier's answer when the target reset the connection before a
	// byte of its answer.
	HeaderCarryReset = "Spool-Carry-Reset"
)

// The outcomes of an attempt without an answer of the target.
const (
	// CarryUnreachable means that the carrier could not send the call, as it does not
	// reach the target either.
	CarryUnreachable CarryOutcome = "unreachable"
	// CarryUnavailable means that the carrier has not sent the call, as it is cut off
	// from all targets or stops.
	CarryUnavailable CarryOutcome = "unavailable"
	// CarryRefused means that the carrier has not sent the call, as it does not know
	// the target, or knows that the target takes no calls from it.
	CarryRefused CarryOutcome = "refused"
	// CarryUnknown means that the target may have run the call.
	CarryUnknown CarryOutcome = "unknown"
)

// SetCarry sets the fields of a request to a carrier.
func SetCarry(header http.Header, c Carry) error {
	text, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "wire: carry")
	}
	header.Set(HeaderCarry, string(text))
	return nil
}

// TakeCarry removes the fields that SetCarry sets from the header of a request and returns
// what they hold. It fails when they are missing or malformed, name no call, service or
// target, or leave no time. No error holds the digest of a key.
func TakeCarry(header http.Header) (Carry, error) {
	var c Carry
	text := header.Get(HeaderCarry)
	header.Del(HeaderCarry)
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return c, errors.Wrapf(err, "wire: carry of %d bytes", len(text))
	}
	if c.Call == "" || c.Service == "" || c.Target == "" || c.TimeLeft <= 0 {
		return c, errors.Errorf("wire: carry of call %q lacks a call, a service, a target or time", c.Call)
	}
	return c, nil
}

// TakeCarryOutcome removes the outcome from the header of a carrier's answer and returns
// it.
func TakeCarryOutcome(header http.Header) CarryOutcome {
	outcome := CarryOutcome(header.Get(HeaderCarryOutcome))
	header.Del(HeaderCarryOutcome)
	return outcome
}
