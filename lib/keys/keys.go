// Package keys handles the API keys of customers. Configurations and instances hold digests
// of keys, so that a key appears neither in memory dumps nor in messages.
package keys

import (
	"crypto/sha256"
	"errors"
	"strings"
)

// scheme is the authentication scheme of RFC 6750; its name is not case-sensitive.
const scheme = "bearer"

// Errors of ParseBearer. Their texts don't contain the key.
var (
	ErrMissing   = errors.New("no API key")
	ErrRepeated  = errors.New("more than one API key")
	ErrMalformed = errors.New("the credentials are not a bearer token")
)

// Digest identifies a key. Looking up digests instead of keys also keeps the time of a look-up
// from revealing how much of a guessed key is right.
type Digest [sha256.Size]byte

// stackBytes is the length up to which the digest of a key needs no allocation.
const stackBytes = 256

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	if len(key) > stackBytes {
		return sha256.Sum256([]byte(key))
	}
	var buf [stackBytes]byte
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// ParseBearer returns the digest of the key in the values of an Authorization header.
func ParseBearer(values []string) (Digest, error) {
	switch len(values) {
	case 0:
		return Digest{}, ErrMissing
	case 1:
	default:
		return Digest{}, ErrRepeated
	}
	name, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(name, scheme) || key == "" || strings.ContainsAny(key, " \t,") {
		return Digest{}, ErrMalformed
	}
	return DigestOf(key), nil
}
