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
	data, err := proto.Marshal(cfg)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
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

// UnpackConfig returns the configuration in a reply, whether compressed or not; nil if
// there is none.
func UnpackConfig(r *SyncReply) (*Config, error) {
	if len(r.GetPackedConfig()) == 0 {
		return r.GetConfig(), nil
	}
	in := flate.NewReader(bytes.NewReader(r.GetPackedConfig()))
	data, err := io.ReadAll(io.LimitReader(in, maxInflatedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("inflate configuration: %w", err)
	}
	if len(data) > maxInflatedBytes {
		return nil, fmt.Errorf("inflated configuration exceeds %d bytes", maxInflatedBytes)
	}
	cfg := &Config{}
	if err := proto.Unmarshal(data, cfg); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return cfg, nil
}
