// Package settings derives command-line flags and environment variables from
// the schema of a process's settings, and reads their values.
package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/settingspb"
)

// envPrefix is the prefix of the environment variables' names.
const envPrefix = "HORNBEAMLIFT_"

// Flags returns one flag for each field of the message. The flags accept any
// text, so that the cli package does not stop at the first invalid value and
// Read can report all of them together.
func Flags(msg proto.Message) []cli.Flag {
	fields := msg.ProtoReflect().Descriptor().Fields()
	flags := make([]cli.Flag, fields.Len())
	for i := range flags {
		fd := fields.Get(i)
		s := settingOf(fd)
		name := flagName(fd)
		sources := cli.EnvVars(envPrefix + strings.ToUpper(string(fd.Name())))
		usage := s.GetUsage()
		if s.GetRequired() {
			usage += " Required."
		}
		if fd.IsList() {
			flags[i] = &cli.StringSliceFlag{Name: name, Usage: usage, Sources: sources}
			continue
		}
		flags[i] = &cli.StringFlag{Name: name, Usage: usage, Sources: sources, Value: s.GetValue()}
	}
	return flags
}

// Read sets the fields of the message from the flags that Flags returned. The
// error is a *fault.List of all faults found. Each has the kind
// fault.SettingsInvalid, fault.RanNo, and the name of the flag as its field.
func Read(cmd *cli.Command, msg proto.Message) error {
	var found []*fault.Error
	m := msg.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		s := settingOf(fd)
		values := []string{cmd.String(flagName(fd))}
		if fd.IsList() {
			values = cmd.StringSlice(flagName(fd))
		}
		for _, text := range values {
			value, detail := parse(fd, s, text)
			switch {
			case detail != "":
				found = append(found, invalid(fd, detail))
			case fd.IsList():
				m.Mutable(fd).List().Append(value)
			default:
				m.Set(fd, value)
			}
		}
	}
	if len(found) > 0 {
		return &fault.List{Faults: found}
	}
	return nil
}

// parse returns the value of one flag, or a detail that says why its text is
// not valid.
func parse(fd protoreflect.FieldDescriptor, s *settingspb.Setting, text string) (value protoreflect.Value, detail string) {
	if text == "" && !fd.IsList() {
		if s.GetRequired() {
			return value, "is required"
		}
		return fd.Default(), ""
	}
	if detail := check(fd, s, text); detail != "" {
		return value, detail
	}
	switch fd.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), ""
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return value, strconv.Quote(text) + " is not a whole number of at least 0"
		}
		return protoreflect.ValueOfUint32(uint32(n)), ""
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return value, strconv.Quote(text) + " is neither true nor false"
		}
		return protoreflect.ValueOfBool(b), ""
	default:
		return value, "has a type that is not supported"
	}
}

// check applies the rules for names and for the kind of the setting. It returns
// a detail that says which rule the text breaks, or "".
func check(fd protoreflect.FieldDescriptor, s *settingspb.Setting, text string) string {
	if (fd.Name() == "instance" || fd.Name() == "data_centre") && !ident.ValidName(text) {
		return strconv.Quote(text) + " is not a name of 1 to 64 characters from a-z, 0-9 and inner hyphens"
	}
	switch s.GetKind() {
	case "address":
		if _, err := netip.ParseAddrPort(text); err != nil {
			return strconv.Quote(text) + ` is not an address of the form "IP:port"`
		}
	case "peer":
		id, address, _ := strings.Cut(text, "=")
		if _, err := netip.ParseAddrPort(address); err != nil || !ident.ValidName(id) {
			return strconv.Quote(text) + ` is not a peer of the form "instance=IP:port"`
		}
	case "duration":
		if d, err := time.ParseDuration(text); err != nil || d <= 0 {
			return strconv.Quote(text) + ` is not a duration above 0 with a unit, such as "30s"`
		}
	case "file":
		f, err := os.Open(text)
		if err != nil {
			return "cannot be read: " + err.Error()
		}
		defer f.Close()
		if info, err := f.Stat(); err != nil || !info.Mode().IsRegular() {
			return strconv.Quote(text) + " is not a regular file"
		}
	}
	return ""
}

func settingOf(fd protoreflect.FieldDescriptor) *settingspb.Setting {
	s, _ := proto.GetExtension(fd.Options(), settingspb.E_Setting).(*settingspb.Setting)
	return s
}

func flagName(fd protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(fd.Name()), "_", "-")
}

func invalid(fd protoreflect.FieldDescriptor, detail string) *fault.Error {
	return fault.New(fault.SettingsInvalid, fault.RanNo).WithField("--" + flagName(fd)).WithDetail(detail)
}
