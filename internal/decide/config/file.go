// Package config decides which configuration is in force: it reads and
// validates the operators' file, numbers its revisions, settles conflicts
// between applies, and holds the newest revision.
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

// maxFileBytes bounds the operators' file. The store holds values of up to
// 1 MB, and the file is kept there as JSON with its metadata.
const maxFileBytes = 768 << 10

// Parse reads the operators' YAML file and validates it. Its failure is a
// *fault.List with every fault found, of kind fault.ConfigInvalid, ran no, and
// with the path of the faulty key. Faults of types and keys hide those of the
// values, since values are checked only in a file of the right shape.
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
	if err := fill(file, tree); err != nil {
		found.add("", err.Error())
		return nil, found.err()
	}
	if err := Validate(file); err != nil {
		return nil, err
	}
	return file, nil
}

// decodeYAML returns the file as generic JSON values.
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
	if moreDocuments(data) {
		found.add("", "the file holds more than one YAML document")
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

// addYAMLFaults reports each line of a YAML failure by itself. Duplicate keys
// are found here; the YAML library gives their line instead of their path.
func addYAMLFaults(found *faults, err error) {
	var typed *goyaml.TypeError
	if !errors.As(err, &typed) {
		found.add("", strings.TrimPrefix(err.Error(), "yaml: "))
		return
	}
	for _, line := range typed.Errors {
		found.add("", line)
	}
}

// moreDocuments reports whether a second document follows the first. The YAML
// library ignores it silently, so half of a joined file would be lost.
func moreDocuments(data []byte) bool {
	dec := goyaml.NewDecoder(bytes.NewReader(data))
	var document any
	if err := dec.Decode(&document); err != nil {
		return false
	}
	return dec.Decode(&document) != io.EOF
}

// fill moves a checked tree into the message.
func fill(file *configpb.File, tree any) error {
	data, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(data, file)
}

// checkMessage compares a generic value with a message's fields and reports
// unknown keys and wrong types by their paths.
func checkMessage(found *faults, path string, value any, md protoreflect.MessageDescriptor) {
	m, ok := value.(map[string]any)
	if !ok {
		found.add(path, "wants keys and values, not "+describe(value))
		return
	}
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		keyPath := join(path, key)
		fd := md.Fields().ByJSONName(key)
		switch {
		case fd == nil:
			found.add(keyPath, "is not a known key; known are "+knownKeys(md))
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
		found.add(path, "wants a list, not "+describe(value))
		return
	}
	for i, item := range list {
		checkValue(found, index(path, i), item, fd)
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
		want = "a type that this version does not read"
	}
	if !ok {
		found.add(path, "wants "+want+", not "+describe(value))
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

// describe names a generic value for a person.
func describe(value any) string {
	switch v := value.(type) {
	case nil:
		return "an empty value"
	case map[string]any:
		return "keys and values"
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
