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

// maxIDsBodyBytes is the maximum body size of a request for submission ids.
const maxIDsBodyBytes = 4 << 10

// bodyDecoder decodes a request body that holds one JSON object. It is strict:
// it matches keys exactly, does not convert types, and rejects duplicate keys
// and data after the object.
type bodyDecoder struct {
	dec               *json.Decoder
	clearReadDeadline func()
}

// newBodyDecoder returns a decoder of the request body that limits its size to
// limit bytes and the time to read it to Limits.BodyTimeout.
func (h *Handler) newBodyDecoder(w http.ResponseWriter, r *http.Request, limit int64) *bodyDecoder {
	b := &bodyDecoder{clearReadDeadline: func() {}}
	if h.Limits.BodyTimeout > 0 {
		rc := http.NewResponseController(w)
		// Writers that do not support deadlines, such as
		// httptest.ResponseRecorder, read without a time limit.
		if rc.SetReadDeadline(h.Clock.Now().Add(h.Limits.BodyTimeout)) == nil {
			b.clearReadDeadline = func() { _ = rc.SetReadDeadline(time.Time{}) }
		}
	}
	b.dec = json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	return b
}

// clearDeadline clears the read deadline after the body was read in full, that
// is, when err is nil, so that the deadline does not interrupt the wait for the
// answer. A rejected body keeps its deadline, because the server still discards
// the rest of the body before it sends the error.
func (b *bodyDecoder) clearDeadline(err error) {
	if err == nil {
		b.clearReadDeadline()
	}
}

// object decodes a JSON object. It calls readValue for each key with the path
// of the value; readValue must consume the value.
func (b *bodyDecoder) object(path string, readValue func(key, keyPath string) error) error {
	if err := b.openDelim(path, '{', "an object"); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for b.dec.More() {
		token, err := b.dec.Token()
		if err != nil {
			return decodeError(path, err)
		}
		key, ok := token.(string)
		if !ok {
			return badField(path, "contains a key that is not a string")
		}
		keyPath := joinPath(path, key)
		if seen[key] {
			return badField(keyPath, "is given twice")
		}
		seen[key] = true
		if err := readValue(key, keyPath); err != nil {
			return err
		}
	}
	return b.closeDelim(path)
}

// array decodes a JSON array. It calls readItem for each item with its index
// and path; readItem must consume the item.
func (b *bodyDecoder) array(path string, readItem func(i int, itemPath string) error) error {
	if err := b.openDelim(path, '[', "an array"); err != nil {
		return err
	}
	for i := 0; b.dec.More(); i++ {
		if err := readItem(i, path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	return b.closeDelim(path)
}

func (b *bodyDecoder) openDelim(path string, want json.Delim, name string) error {
	token, err := b.dec.Token()
	if err != nil {
		return decodeError(path, err)
	}
	if token != want {
		return badField(path, "must be "+name)
	}
	return nil
}

func (b *bodyDecoder) closeDelim(path string) error {
	if _, err := b.dec.Token(); err != nil {
		return decodeError(path, err)
	}
	return nil
}

// expectEOF returns an error if data follows the object.
func (b *bodyDecoder) expectEOF() error {
	if _, err := b.dec.Token(); err != io.EOF {
		if err != nil {
			return decodeError("", err)
		}
		return badField("", "unexpected data after the JSON object")
	}
	return nil
}

func (b *bodyDecoder) text(path string) (string, error) {
	var raw json.RawMessage
	if err := b.dec.Decode(&raw); err != nil {
		return "", decodeError(path, err)
	}
	if raw[0] != '"' {
		return "", badField(path, "must be a string")
	}
	// encoding/json silently replaces invalid Unicode, so the endpoint would
	// receive a different input from the one that the caller sent.
	if !utf8.Valid(raw) || loneSurrogate(raw) {
		return "", badField(path, "must be valid Unicode")
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", decodeError(path, err)
	}
	return s, nil
}

func (b *bodyDecoder) number(path string) (json.Number, error) {
	var raw json.RawMessage
	if err := b.dec.Decode(&raw); err != nil {
		return "", decodeError(path, err)
	}
	if raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') {
		return "", badField(path, "must be a number")
	}
	return json.Number(raw), nil
}

// integer reads a whole number in the range low to high, inclusive.
func (b *bodyDecoder) integer(path string, low, high int64) (int64, error) {
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

// nonNegative reads a finite number that is at least 0.
func (b *bodyDecoder) nonNegative(path string) (float64, error) {
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

// loneSurrogate reports whether raw, a valid JSON string, contains the escape
// sequence of one half of a surrogate pair without the other half.
func loneSurrogate(raw []byte) bool {
	for {
		i := bytes.IndexByte(raw, '\\')
		if i < 0 {
			return false
		}
		raw = raw[i:]
		switch half := surrogateHalf(raw); {
		case half == 0:
			raw = raw[2:]
		case half == 'h' && surrogateHalf(raw[6:]) == 'l':
			raw = raw[12:]
		default:
			return true
		}
	}
}

// surrogateHalf returns 'h' or 'l' if raw begins with the escape sequence of
// the high or low half of a surrogate pair, and 0 otherwise.
func surrogateHalf(raw []byte) byte {
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

// decodeError converts an error of the JSON decoder or the connection to a
// fault.Error: fault.TooLarge for a body above the size limit, otherwise
// fault.BadField.
func decodeError(path string, err error) error {
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return fault.New(fault.TooLarge, fault.RanNo).WithDetail("the body is longer than " + strconv.FormatInt(sizeErr.Limit, 10) + " bytes")
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return badField("", "the body was not received in time")
	}
	return badField(path, "is not valid JSON: "+err.Error())
}

func badField(path, detail string) error {
	return fault.New(fault.BadField, fault.RanNo).WithField(path).WithDetail(detail)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
