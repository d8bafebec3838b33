package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxInflatedBytes is the maximum size of an inflated configuration; it is well above the
// maximum size of a published one.
const maxInflatedBytes = 16 << 20

// PackConfig returns the encoded configuration, compressed with DEFLATE.
func PackConfig(cfg *Config) ([]byte, error) {
	return pack(cfg, flate.BestCompression)
}

// UnpackConfig returns the configuration in a reply, whether compressed or not; nil if
// there is none.
func UnpackConfig(r *SyncReply) (*Config, error) {
	if len(r.GetPackedConfig()) == 0 {
		return r.GetConfig(), nil
	}
	return unpack(r.GetPackedConfig(), &Config{})
}

// PackDocument returns the encoded document, compressed with DEFLATE.
func PackDocument(doc *Document) ([]byte, error) {
	return pack(doc, flate.BestSpeed)
}

// UnpackDocument returns the document in a reply, whether compressed or not; nil if there
// is none.
func UnpackDocument(r *FleetReply) (*Document, error) {
	if len(r.GetPackedDocument()) == 0 {
		return r.GetDocument(), nil
	}
	return unpack(r.GetPackedDocument(), &Document{})
}

func pack(m proto.Message, level int) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, level)
	if err != nil {
		return nil, fmt.Errorf("deflate configuration: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("deflate configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("deflate configuration: %w", err)
	}
	return out.Bytes(), nil
}

// unpack inflates and decodes data into m, and returns m.
func unpack[M proto.Message](data []byte, m M) (M, error) {
	var none M
	in := flate.NewReader(bytes.NewReader(data))
	data, err := io.ReadAll(io.LimitReader(in, maxInflatedBytes+1))
	if err != nil {
		return none, fmt.Errorf("inflate configuration: %w", err)
	}
	if len(data) > maxInflatedBytes {
		return none, fmt.Errorf("inflated configuration exceeds %d bytes", maxInflatedBytes)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return none, fmt.Errorf("decode configuration: %w", err)
	}
	return m, nil
}
