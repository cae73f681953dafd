package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// maxIDsBodyBytes bounds the body of a call for ids.
const maxIDsBodyBytes = 4 << 10

// body reads one JSON object in a strict way: keys match exactly and come
// once, types are not converted, and nothing follows the object.
type body struct {
	dec   *json.Decoder
	reset func()
}

// openBody bounds the request's body in size and time.
func (h *Handler) openBody(w http.ResponseWriter, r *http.Request, limit int64) *body {
	b := &body{reset: func() {}}
	if h.Limits.BodyTimeout > 0 {
		rc := http.NewResponseController(w)
		// A writer without deadlines, as in tests, reads without a bound.
		if rc.SetReadDeadline(h.Clock.Now().Add(h.Limits.BodyTimeout)) == nil {
			b.reset = func() { _ = rc.SetReadDeadline(time.Time{}) }
		}
	}
	b.dec = json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	return b
}

// close lifts the time bound of a body that was read in full, so that it does
// not end the wait for the answer. A refused body keeps the bound, because the
// server still discards the rest of it before the refusal goes out.
func (b *body) close(err error) {
	if err == nil {
		b.reset()
	}
}

// object calls read for each key with its path; read must consume the value.
func (b *body) object(path string, read func(key, keyPath string) error) error {
	if err := b.delim(path, '{', "an object"); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for b.dec.More() {
		token, err := b.dec.Token()
		if err != nil {
			return syntax(path, err)
		}
		key, ok := token.(string)
		if !ok {
			return badField(path, "holds a key that is not text")
		}
		keyPath := join(path, key)
		if seen[key] {
			return badField(keyPath, "is given twice")
		}
		seen[key] = true
		if err := read(key, keyPath); err != nil {
			return err
		}
	}
	return b.end(path)
}

// array calls read for each item with its index and path.
func (b *body) array(path string, read func(i int, itemPath string) error) error {
	if err := b.delim(path, '[', "a list"); err != nil {
		return err
	}
	for i := 0; b.dec.More(); i++ {
		if err := read(i, path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return b.end(path)
}

func (b *body) delim(path string, want json.Delim, name string) error {
	token, err := b.dec.Token()
	if err != nil {
		return syntax(path, err)
	}
	if token != want {
		return badField(path, "must be "+name)
	}
	return nil
}

func (b *body) end(path string) error {
	if _, err := b.dec.Token(); err != nil {
		return syntax(path, err)
	}
	return nil
}

// finish refuses data after the object.
func (b *body) finish() error {
	if _, err := b.dec.Token(); err != io.EOF {
		if err != nil {
			return syntax("", err)
		}
		return badField("", "data follows the object")
	}
	return nil
}

func (b *body) text(path string) (string, error) {
	var raw json.RawMessage
	if err := b.dec.Decode(&raw); err != nil {
		return "", syntax(path, err)
	}
	if raw[0] != '"' {
		return "", badField(path, "must be text")
	}
	// The decoder would replace malformed text silently, and the endpoint
	// would get another input than the caller sent.
	if !utf8.Valid(raw) || loneSurrogate(raw) {
		return "", badField(path, "must be valid Unicode text")
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", syntax(path, err)
	}
	return s, nil
}

func (b *body) number(path string) (json.Number, error) {
	var raw json.RawMessage
	if err := b.dec.Decode(&raw); err != nil {
		return "", syntax(path, err)
	}
	if raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') {
		return "", badField(path, "must be a number")
	}
	return json.Number(raw), nil
}

// whole reads a whole number from low to high.
func (b *body) whole(path string, low, high int64) (int64, error) {
	n, err := b.number(path)
	if err != nil {
		return 0, err
	}
	v, err := n.Int64()
	if err != nil || v < low || v > high {
		return 0, badField(path, "must be a whole number from "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
	}
	return v, nil
}

func (b *body) size(path string) (float64, error) {
	n, err := b.number(path)
	if err != nil {
		return 0, err
	}
	v, err := n.Float64()
	if err != nil || v < 0 || math.IsInf(v, 0) {
		return 0, badField(path, "must be a number of at least 0")
	}
	return v, nil
}

// loneSurrogate reports whether raw, a valid JSON string, escapes one half of
// a surrogate pair without the other.
func loneSurrogate(raw []byte) bool {
	for {
		i := bytes.IndexByte(raw, '\\')
		if i < 0 {
			return false
		}
		raw = raw[i:]
		switch half := surrogate(raw); {
		case half == 0:
			raw = raw[2:]
		case half == 'h' && surrogate(raw[6:]) == 'l':
			raw = raw[12:]
		default:
			return true
		}
	}
}

// surrogate returns 'h' or 'l' when raw begins with the escape of the high or
// low half of a surrogate pair, and 0 otherwise.
func surrogate(raw []byte) byte {
	if len(raw) < 6 || raw[0] != '\\' || raw[1] != 'u' {
		return 0
	}
	switch v, _ := strconv.ParseUint(string(raw[2:6]), 16, 16); {
	case v >= 0xd800 && v < 0xdc00:
		return 'h'
	case v >= 0xdc00 && v < 0xe000:
		return 'l'
	}
	return 0
}

// syntax turns a failure of the decoder or of the connection into a refusal.
func syntax(path string, err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return fault.New(fault.TooLarge, fault.RanNo).WithDetail("the body is longer than " + strconv.FormatInt(large.Limit, 10) + " bytes")
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return badField("", "the body did not arrive in time")
	}
	return badField(path, "is not valid JSON: "+err.Error())
}

func badField(path, detail string) error {
	return fault.New(fault.BadField, fault.RanNo).WithField(path).WithDetail(detail)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
