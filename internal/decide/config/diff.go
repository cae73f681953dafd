package config

import (
	"sort"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// Diff returns a line for each key whose value differs, sorted by path, such as
// "services[sheet-press].max-running: 40 -> 48". Services and teams are
// identified by name, so their order does not matter. A value that is not set
// is shown as "unset".
func Diff(from, to *configpb.File) []string {
	before, after := map[string]string{}, map[string]string{}
	flatten(before, "", from.ProtoReflect())
	flatten(after, "", to.ProtoReflect())
	var paths []string
	for path, value := range before {
		if after[path] != value {
			paths = append(paths, path)
		}
	}
	for path := range after {
		if _, ok := before[path]; !ok {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	lines := make([]string, len(paths))
	for i, path := range paths {
		lines[i] = path + ": " + valueOrUnset(before, path) + " -> " + valueOrUnset(after, path)
	}
	return lines
}

func valueOrUnset(values map[string]string, path string) string {
	if value, ok := values[path]; ok {
		return value
	}
	return "unset"
}

// flatten adds each set field of a message to values under its path.
func flatten(values map[string]string, path string, m protoreflect.Message) {
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		fieldPath := joinPath(path, fd.JSONName())
		switch {
		case fd.IsList() && fd.Message() != nil:
			for i := range v.List().Len() {
				item := v.List().Get(i).Message()
				name := item.Get(item.Descriptor().Fields().ByName("name")).String()
				flatten(values, fieldPath+"["+name+"]", item)
			}
		case fd.IsList():
			items := make([]string, v.List().Len())
			for i := range items {
				items[i] = v.List().Get(i).String()
			}
			values[fieldPath] = "[" + strings.Join(items, ", ") + "]"
		case fd.Message() != nil:
			flatten(values, fieldPath, v.Message())
		case fd.Kind() == protoreflect.StringKind:
			values[fieldPath] = strconv.Quote(v.String())
		default:
			values[fieldPath] = v.String()
		}
		return true
	})
}
