package feed

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"cardamomspool/core/plan"
)

// planEncoder encodes the plan in force for followers, once for each version. It is
// safe for concurrent use.
type planEncoder struct {
	mu         sync.Mutex
	plan       *plan.Plan // The plan that text and compressed are of.
	text       []byte     // The plan in JSON; nil until it is needed.
	compressed []byte     // The text compressed with gzip; nil until it is needed.
}

// json returns p in JSON. The caller must not modify p or the result.
func (e *planEncoder) json(p *plan.Plan) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.textOf(p)
}

// textOf implements json. The caller holds mu.
func (e *planEncoder) textOf(p *plan.Plan) ([]byte, error) {
	if e.plan == p && e.text != nil {
		return e.text, nil
	}
	text, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrapf(err, "feed: encode plan %d", p.Version)
	}
	e.plan, e.text, e.compressed = p, text, nil
	return text, nil
}

// gzip returns p in JSON, compressed. The caller must not modify p or the result.
func (e *planEncoder) gzip(p *plan.Plan) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, err := e.textOf(p)
	if err != nil || e.compressed != nil {
		return e.compressed, err
	}
	if e.compressed, err = plan.Compress(text); err != nil {
		return nil, errors.Wrapf(err, "feed: plan %d", p.Version)
	}
	return e.compressed, nil
}

// decodePlan decodes a plan that planEncoder.gzip has encoded.
func decodePlan(data []byte) (*plan.Plan, error) {
	text, err := plan.Decompress(data)
	if err != nil {
		return nil, errors.Wrap(err, "feed: compressed plan")
	}
	p := new(plan.Plan)
	if err = json.Unmarshal(text, p); err != nil {
		return nil, errors.Wrap(err, "feed: plan")
	}
	return p, nil
}
