package plan

import (
	"encoding/json"
	"slices"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

// MaxDataCentreName is the longest name, in bytes, of a data centre in an order to
// evacuate it. The orders are part of every message about the plan.
const MaxDataCentreName = 128

// evacuatedField is the name of Document.Evacuated in JSON.
const evacuatedField = "evacuated"

// ErrDataCentreName reports that an order names no data centre, or one whose name is
// too long or has control characters.
var ErrDataCentreName = errors.New("plan: the name of the data centre is empty, too long or has control characters")

// ValidDataCentre returns an error that wraps ErrDataCentreName unless name can be that of a data centre in
// an order.
func ValidDataCentre(name string) error {
	if name == "" || len(name) > MaxDataCentreName || strings.ContainsFunc(name, unicode.IsControl) {
		return errors.Wrapf(ErrDataCentreName, "data centre %.*q", MaxDataCentreName, name)
	}
	return nil
}

// EvacuatedIn returns Document.Evacuated of a stored document, which may be empty.
func EvacuatedIn(stored []byte) ([]string, error) {
	var d struct {
		Evacuated []string `json:"evacuated"`
	}
	if len(stored) == 0 {
		return nil, nil
	}
	text, err := unpackDocument(stored)
	if err != nil {
		return nil, err
	}
	err = json.Unmarshal(text, &d)
	return d.Evacuated, errors.Wrap(err, "plan: evacuated data centres")
}

// WithOrder returns a stored document, which may be empty, with the order to evacuate a
// data centre, or without it if evacuated is false. It returns nil if that changes
// nothing. All other fields are kept, also unknown ones.
func WithOrder(stored []byte, dataCentre string, evacuated bool) ([]byte, error) {
	list, err := EvacuatedIn(stored)
	if err != nil {
		return nil, err
	}
	i, found := slices.BinarySearch(list, dataCentre)
	switch {
	case found == evacuated:
		return nil, nil
	case evacuated:
		list = slices.Insert(list, i, dataCentre)
	default:
		list = slices.Delete(list, i, i+1)
	}
	return withEvacuated(stored, list)
}

// WithOrdersOf returns the stored document next with the orders of the stored document
// current, which may be empty. It returns nil if there are none.
func WithOrdersOf(current, next []byte) ([]byte, error) {
	list, err := EvacuatedIn(current)
	if err != nil || len(list) == 0 {
		return nil, err
	}
	return withEvacuated(next, list)
}

// withEvacuated returns a stored document with the given list.
func withEvacuated(stored []byte, list []string) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if len(stored) > 0 {
		text, err := unpackDocument(stored)
		if err != nil {
			return nil, err
		}
		if err = json.Unmarshal(text, &fields); err != nil {
			return nil, errors.Wrap(err, "plan: document")
		}
	}
	delete(fields, evacuatedField)
	if len(list) > 0 {
		value, err := json.Marshal(list)
		if err != nil {
			return nil, errors.Wrap(err, "plan: evacuated data centres")
		}
		fields[evacuatedField] = value
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(err, "plan: document")
	}
	return packDocument(text)
}
