package store

import (
	"os"

	"golang.org/x/sys/unix"
)

// Files holds the file operations that a Store uses. Tests replace single fields to
// inject faults such as a full disk.
type Files struct {
	// OpenFile opens or creates a file, as os.OpenFile does.
	OpenFile func(path string, flag int, perm os.FileMode) (*os.File, error)
	// Write appends b to f.
	Write func(f *os.File, b []byte) (int, error)
	// Sync makes the content of f durable.
	Sync func(f *os.File) error
	// Truncate cuts f to size bytes.
	Truncate func(f *os.File, size int64) error
	// Rename replaces the file at to with the file at from.
	Rename func(from, to string) error
	// Remove deletes a file.
	Remove func(path string) error
	// Reserve allocates the room that f needs to grow to size bytes, and leaves its length as it
	// is. It allocates nothing if it fails.
	Reserve func(f *os.File, size int64) error
	// Exchange swaps the names of two files.
	Exchange func(a, b string) error
	// Free returns the number of bytes that can still be allocated on the disk of dir.
	Free func(dir string) (int64, error)
	// SyncDir makes the creation, renaming and removal of files in dir durable.
	SyncDir func(dir string) error
}

// OSFiles returns the operations of package os.
func OSFiles() Files {
	return Files{
		OpenFile: os.OpenFile,
		Write:    func(f *os.File, b []byte) (int, error) { return f.Write(b) },
		Sync:     func(f *os.File) error { return f.Sync() },
		Truncate: func(f *os.File, size int64) error { return f.Truncate(size) },
		Rename:   os.Rename,
		Remove:   os.Remove,
		Reserve: func(f *os.File, size int64) error {
			return unix.Fallocate(int(f.Fd()), unix.FALLOC_FL_KEEP_SIZE, 0, size)
		},
		Exchange: func(a, b string) error {
			return unix.Renameat2(unix.AT_FDCWD, a, unix.AT_FDCWD, b, unix.RENAME_EXCHANGE)
		},
		Free:    freeBytes,
		SyncDir: syncDir,
	}
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

func freeBytes(dir string) (int64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return int64(st.Bavail) * st.Bsize, nil
}
