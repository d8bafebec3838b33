// Package answer generates the output of the stand-ins. It depends only on the
// request, so that tests can verify every response byte for byte.
package answer

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// DefaultTokens is the number of tokens of a generation without a maximum.
const DefaultTokens = 64

// stopMarker in a prompt is followed by the number of tokens after which the output
// ends, as in "stop=12". It simulates an end-of-sequence token.
const stopMarker = "stop="

var words = [...]string{
	"dovetail", "mortise", "tenon", "chisel", "inlay", "veneer", "grain", "spiral",
	"lattice", "border", "cedar", "ebony", "walnut", "gouge", "rasp", "template",
}

// Text is the deterministic output of one artifact for one prompt.
type Text struct {
	seed uint64
}

// For returns the output of a model at a version for a prompt; adapter is empty
// for the model itself.
func For(model, version, adapter, prompt string) Text {
	h := sha256.New()
	for _, s := range []string{model, version, adapter, prompt} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return Text{seed: binary.BigEndian.Uint64(h.Sum(nil))}
}

// Token returns the text of the token at index, including its trailing space.
func (t Text) Token(index int) string {
	// splitmix64 gives adjacent indices unrelated tokens, so that a missing, repeated
	// or swapped token changes the text.
	x := t.seed + (uint64(index)+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	return fmt.Sprintf("%s-%04x ", words[x%uint64(len(words))], uint16(x>>32))
}

// Join returns the text of the tokens in the half-open range [from, to).
func (t Text) Join(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(t.Token(i))
	}
	return b.String()
}

// Length returns the number of tokens in the output for a prompt: maxTokens
// (DefaultTokens if it is not positive), or the number after "stop=" in the prompt
// if that is smaller.
func Length(prompt string, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = DefaultTokens
	}
	_, rest, found := strings.Cut(prompt, stopMarker)
	if !found {
		return maxTokens
	}
	digits := rest
	if i := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
		digits = rest[:i]
	}
	n, err := strconv.Atoi(digits)
	if err != nil || n < 1 {
		return maxTokens
	}
	return min(n, maxTokens)
}

// PlainBody returns the response body of the plain service.
func PlainBody(method, path, ref string) string {
	return fmt.Sprintf("{\"method\":%q,\"path\":%q,\"ref\":%q,\"done\":true}\n", method, path, ref)
}
