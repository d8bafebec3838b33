package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"
)

// maxInflatedBytes is the maximum size of an inflated message; it is well above the maximum size
// of a published configuration.
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

// PackTargets returns the encoded targets of a reply, compressed with DEFLATE.
func PackTargets(targets []*FleetTarget) ([]byte, error) {
	return pack(&FleetReply{Targets: targets}, flate.BestSpeed)
}

// UnpackTargets replaces the compressed targets of a reply, if it has any, by the targets.
func UnpackTargets(r *FleetReply) error {
	if len(r.GetPackedTargets()) == 0 {
		return nil
	}
	packed, err := unpack(r.GetPackedTargets(), &FleetReply{})
	if err != nil {
		return err
	}
	r.Targets, r.PackedTargets = packed.GetTargets(), nil
	return nil
}

// deflaters holds unused compressors by level. Each takes from 0.6 to 1.2 MB.
var deflaters = map[int]*sync.Pool{flate.BestSpeed: {}, flate.BestCompression: {}}

func pack(m proto.Message, level int) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	var out bytes.Buffer
	w, ok := deflaters[level].Get().(*flate.Writer)
	if ok {
		w.Reset(&out)
	} else if w, err = flate.NewWriter(&out, level); err != nil {
		return nil, fmt.Errorf("deflate %T: %w", m, err)
	}
	defer deflaters[level].Put(w)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("deflate %T: %w", m, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("deflate %T: %w", m, err)
	}
	return out.Bytes(), nil
}

// unpack inflates and decodes data into m, and returns m.
func unpack[M proto.Message](data []byte, m M) (M, error) {
	var none M
	in := flate.NewReader(bytes.NewReader(data))
	data, err := io.ReadAll(io.LimitReader(in, maxInflatedBytes+1))
	if err != nil {
		return none, fmt.Errorf("inflate %T: %w", m, err)
	}
	if len(data) > maxInflatedBytes {
		return none, fmt.Errorf("inflated %T exceeds %d bytes", m, maxInflatedBytes)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return none, fmt.Errorf("decode %T: %w", m, err)
	}
	return m, nil
}
