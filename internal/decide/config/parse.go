// Package config manages the configuration of the fleet: it parses and
// validates the operators' file, numbers its revisions, builds the error for
// conflicting applies, and holds the newest revision.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"sigs.k8s.io/yaml"
	goyaml "sigs.k8s.io/yaml/goyaml.v2"

	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// maxFileBytes is the maximum size of the operators' file. The store accepts
// values of up to 1 MB and keeps the file as JSON with its metadata.
const maxFileBytes = 768 << 10

// Parse parses and validates the operators' YAML file. It first checks all keys
// and types and then, if these are right, all values. Its error is a
// *fault.List of all faults found by the first check that fails, each of kind
// fault.ConfigInvalid, with fault.RanNo and the path of the faulty key.
func Parse(data []byte) (*configpb.File, error) {
	var found faults
	tree, ok := decodeYAML(data, &found)
	if !ok {
		return nil, found.err()
	}
	file := &configpb.File{}
	checkMessage(&found, "", tree, file.ProtoReflect().Descriptor())
	if err := found.err(); err != nil {
		return nil, err
	}
	if err := unmarshalTree(file, tree); err != nil {
		found.add("", err.Error())
		return nil, found.err()
	}
	if err := Validate(file); err != nil {
		return nil, err
	}
	return file, nil
}

// decodeYAML decodes the file into generic JSON values, with numbers as
// json.Number. It returns false after adding a fault.
func decodeYAML(data []byte, found *faults) (any, bool) {
	if len(data) > maxFileBytes {
		found.add("", "the file is longer than "+strconv.Itoa(maxFileBytes)+" bytes")
		return nil, false
	}
	asJSON, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		addYAMLFaults(found, err)
		return nil, false
	}
	if hasSecondDocument(data) {
		found.add("", "the file contains more than one YAML document")
		return nil, false
	}
	dec := json.NewDecoder(bytes.NewReader(asJSON))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		found.add("", err.Error())
		return nil, false
	}
	return tree, true
}

// addYAMLFaults adds one fault for each line of a YAML error. Duplicate keys
// are reported here; the YAML library gives their line instead of their path.
func addYAMLFaults(found *faults, err error) {
	var typeErr *goyaml.TypeError
	if !errors.As(err, &typeErr) {
		found.add("", strings.TrimPrefix(err.Error(), "yaml: "))
		return
	}
	for _, line := range typeErr.Errors {
		found.add("", line)
	}
}

// hasSecondDocument reports whether a second document follows the first. The
// YAML library silently ignores it, so half of a concatenated file would be
// lost.
func hasSecondDocument(data []byte) bool {
	dec := goyaml.NewDecoder(bytes.NewReader(data))
	var document any
	if err := dec.Decode(&document); err != nil {
		return false
	}
	return dec.Decode(&document) != io.EOF
}

// unmarshalTree converts a checked tree of generic values into the message.
func unmarshalTree(file *configpb.File, tree any) error {
	data, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(data, file)
}

// checkMessage checks a generic value against the fields of a message and adds
// a fault for each unknown key and wrong type.
func checkMessage(found *faults, path string, value any, md protoreflect.MessageDescriptor) {
	m, ok := value.(map[string]any)
	if !ok {
		found.add(path, "must be a mapping, not "+describeValue(value))
		return
	}
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		keyPath := joinPath(path, key)
		fd := md.Fields().ByJSONName(key)
		switch {
		case fd == nil:
			found.add(keyPath, "is not a known key; known keys are "+knownKeys(md))
		case fd.IsList():
			checkList(found, keyPath, m[key], fd)
		default:
			checkValue(found, keyPath, m[key], fd)
		}
	}
}

func checkList(found *faults, path string, value any, fd protoreflect.FieldDescriptor) {
	list, ok := value.([]any)
	if !ok {
		found.add(path, "must be a list, not "+describeValue(value))
		return
	}
	for i, item := range list {
		checkValue(found, indexPath(path, i), item, fd)
	}
}

func checkValue(found *faults, path string, value any, fd protoreflect.FieldDescriptor) {
	var ok bool
	var want string
	switch fd.Kind() {
	case protoreflect.MessageKind:
		checkMessage(found, path, value, fd.Message())
		return
	case protoreflect.StringKind:
		_, ok = value.(string)
		want = "text"
	case protoreflect.BoolKind:
		_, ok = value.(bool)
		want = "true or false"
	case protoreflect.Uint32Kind:
		ok = isUint(value, 32)
		want = "a whole number from 0 to " + strconv.FormatUint(math.MaxUint32, 10)
	case protoreflect.Uint64Kind:
		ok = isUint(value, 64)
		want = "a whole number from 0 to " + strconv.FormatUint(math.MaxUint64, 10)
	case protoreflect.DoubleKind:
		ok = isFloat(value)
		want = "a number"
	default:
		want = "of a type that this version supports"
	}
	if !ok {
		found.add(path, "must be "+want+", not "+describeValue(value))
	}
}

func isUint(value any, bits int) bool {
	n, ok := value.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseUint(n.String(), 10, bits)
	return err == nil
}

func isFloat(value any) bool {
	n, ok := value.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseFloat(n.String(), 64)
	return err == nil
}

// describeValue returns a generic value as it is shown in a fault.
func describeValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "an empty value"
	case map[string]any:
		return "a mapping"
	case []any:
		return "a list"
	case string:
		return strconv.Quote(v)
	default:
		return fmt.Sprint(v)
	}
}

func knownKeys(md protoreflect.MessageDescriptor) string {
	fields := md.Fields()
	keys := make([]string, fields.Len())
	for i := range keys {
		keys[i] = fields.Get(i).JSONName()
	}
	return strings.Join(keys, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
