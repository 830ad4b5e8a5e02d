package plan

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// storedDocument is the form in which a large Document is stored: JSON, like a small one,
// with the text of the document compressed.
type storedDocument struct {
	Compressed []byte `json:"compressed"`
}

const (
	// maxTextBytes bounds the size of a decompressed text.
	maxTextBytes = 64 << 20
	// minCompressedBytes is the size from which an encoded Document is compressed.
	// Smaller ones can be read by hosts of versions that know no compression.
	minCompressedBytes = 64 << 10
)

// Compress returns text compressed with gzip.
func Compress(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "plan: compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "plan: compress")
	}
	return buf.Bytes(), nil
}

// Decompress returns the text that Compress has compressed. It fails when data is not
// complete or the text is larger than 64 MiB.
func Decompress(data []byte) ([]byte, error) {
	var (
		r    *gzip.Reader
		text []byte
		err  error
	)
	if r, err = gzip.NewReader(bytes.NewReader(data)); err != nil {
		return nil, errors.Wrap(err, "plan: decompress")
	}
	if text, err = io.ReadAll(io.LimitReader(r, maxTextBytes+1)); err != nil {
		return nil, errors.Wrap(err, "plan: decompress")
	}
	if len(text) > maxTextBytes {
		return nil, errors.Errorf("plan: text of %d compressed bytes is larger than %d bytes", len(data), maxTextBytes)
	}
	return text, nil
}

// Encode returns the document in JSON, compressed if it is large.
func (d *Document) Encode() ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrapf(err, "plan: encode version %d", d.Plan.Version)
	}
	return packDocument(text)
}

// packDocument returns the stored form of the JSON text of a document.
func packDocument(text []byte) ([]byte, error) {
	if len(text) < minCompressedBytes {
		return text, nil
	}
	compressed, err := Compress(text)
	if err != nil {
		return nil, err
	}
	text, err = json.Marshal(storedDocument{Compressed: compressed})
	return text, errors.Wrap(err, "plan: encode stored document")
}

// unpackDocument returns the JSON text of the stored form of a document.
func unpackDocument(data []byte) ([]byte, error) {
	var s storedDocument
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "plan: stored document")
	}
	if len(s.Compressed) == 0 {
		return data, nil
	}
	return Decompress(s.Compressed)
}

// DecodeDocument decodes what Document.Encode has returned.
func DecodeDocument(data []byte) (Document, error) {
	var (
		d    Document
		text []byte
		err  error
	)
	if text, err = unpackDocument(data); err != nil {
		return d, err
	}
	err = json.Unmarshal(text, &d)
	return d, errors.Wrap(err, "plan: document")
}
