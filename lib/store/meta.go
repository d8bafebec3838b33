package store

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
)

const (
	metaName  = "meta"
	metaMagic = "BRPMETA1"
	// diskIDSize is the size of a disk identity in bytes.
	diskIDSize = 16
)

// Meta is the metadata record that is stored next to the log.
type Meta struct {
	// Disk is the random identity of the data directory; it never changes.
	Disk []byte `json:"disk"`
	// Term is the highest term that the member has taken part in.
	Term uint64 `json:"term"`
	// Vote and VoteDisk identify the candidate that the member voted for in Term;
	// empty if it has not voted.
	Vote     string `json:"vote"`
	VoteDisk []byte `json:"voteDisk"`
	// Group is the identity of the group that the directory belongs to; empty if it
	// has never belonged to one.
	Group []byte `json:"group"`
}

// loadMeta reads the meta file; found is false if there is none.
func (s *Store) loadMeta() (m Meta, found bool, err error) {
	path := filepath.Join(s.dir, metaName)
	b, err := s.readFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return Meta{}, false, nil
	}
	if err != nil {
		return Meta{}, false, fmt.Errorf("read meta: %w", err)
	}
	body, err := decodeFile(path, metaMagic, b)
	if err != nil {
		return Meta{}, false, err
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return Meta{}, false, &DamageError{File: path, Offset: fileHeaderSize, Reason: err.Error()}
	}
	if len(m.Disk) != diskIDSize {
		return Meta{}, false, &DamageError{File: path, Offset: fileHeaderSize, Reason: "no disk identity"}
	}
	return m, true, nil
}

func (s *Store) saveMeta(m Meta) error {
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode meta: %w", err)
	}
	data := encodeFile(metaMagic, body)
	done, err := s.swapMeta(data)
	if err == nil && !done {
		err = s.replaceFile(metaName, data)
		s.prepareSpareMeta()
	}
	if err != nil {
		return fmt.Errorf("write meta: %w", err)
	}
	return nil
}

// checksumSeed returns the initial value of the record checksums.
func (s *Store) checksumSeed() uint32 { return crc32.Checksum(s.meta.Disk, castagnoli) }

// NewDiskID returns a new random disk identity.
func NewDiskID() []byte {
	b := make([]byte, diskIDSize)
	_, _ = rand.Read(b) // crypto/rand documents that Read never fails.
	return b
}

// fileHeaderSize is the size of magic, length (8 bytes) and checksum (4 bytes).
const fileHeaderSize = 8 + 8 + 4

// encodeFile prepends magic, length and CRC-32C to body.
func encodeFile(magic string, body []byte) []byte {
	b := make([]byte, 0, fileHeaderSize+len(body))
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

// decodeFile verifies data encoded with encodeFile and returns its body.
func decodeFile(path, magic string, b []byte) ([]byte, error) {
	if len(b) < fileHeaderSize || string(b[:8]) != magic {
		return nil, &DamageError{File: path, Reason: "bad header"}
	}
	body := b[fileHeaderSize:]
	if n := binary.LittleEndian.Uint64(b[8:]); n != uint64(len(body)) {
		return nil, &DamageError{
			File: path, Offset: 8,
			Reason: fmt.Sprintf("length is %d, but %d bytes follow", n, len(body)),
		}
	}
	got, want := crc32.Checksum(body, castagnoli), binary.LittleEndian.Uint32(b[16:])
	if got != want {
		return nil, &DamageError{
			File: path, Offset: fileHeaderSize,
			Reason: fmt.Sprintf("checksum is %08x, expected %08x", got, want),
		}
	}
	return body, nil
}

func (s *Store) readFile(path string) ([]byte, error) {
	f, err := s.files.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(f)
}

// replaceFile atomically replaces the file name: it writes and syncs a temporary file,
// renames it to name and syncs the directory. If writing or renaming fails, the
// previous file stays in place.
func (s *Store) replaceFile(name string, data []byte) error {
	path := filepath.Join(s.dir, name)
	tmp := path + tmpSuffix
	if err := s.writeFile(tmp, data); err != nil {
		_ = s.files.Remove(tmp)
		return err
	}
	if err := s.files.Rename(tmp, path); err != nil {
		_ = s.files.Remove(tmp)
		return fmt.Errorf("rename: %w", err)
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}

// writeFile creates the file, writes data to it and syncs it. An existing file is
// overwritten.
func (s *Store) writeFile(path string, data []byte) error {
	f, err := s.files.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = s.files.Write(f, data); err == nil {
		if err = s.files.Sync(f); err != nil {
			err = fmt.Errorf("sync %s: %w", path, err)
		}
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
