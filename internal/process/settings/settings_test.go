package settings_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/process/settings"
	"hornbeamlift.example/hornbeamlift/internal/schema/settingspb"
)

// read parses command-line arguments with the flags of the command serve.
func read(args ...string) (*settingspb.Serve, error) {
	serve := &settingspb.Serve{}
	var err error
	cmd := &cli.Command{Name: "serve", Flags: settings.Flags(serve), Action: func(_ context.Context, cmd *cli.Command) error {
		err = settings.Read(cmd, serve)
		return nil
	}}
	if runErr := cmd.Run(context.Background(), append([]string{"serve"}, args...)); runErr != nil {
		return nil, runErr
	}
	return serve, err
}

// TestRead guards against defaults, flags or environment variables that are not
// read, and against an environment variable that overrides its flag.
func TestRead(t *testing.T) {
	is := is.New(t)
	token := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(token, []byte("x"), 0o600))
	t.Setenv("HORNBEAMLIFT_DATA_CENTRE", "penang-1")
	t.Setenv("HORNBEAMLIFT_PEER_ADDRESS", "10.0.0.1:1")
	t.Setenv("HORNBEAMLIFT_PEERS", "entry-2=10.0.0.2:1,entry-3=10.0.0.3:1")
	serve, err := read("--instance", "entry-1", "--peer-address", "127.0.0.1:2", "--ordinal", "3", "--token-file", token)
	is.NoErr(err)
	is.Equal(serve.GetInstance(), "entry-1")
	is.Equal(serve.GetDataCentre(), "penang-1")
	is.Equal(serve.GetPeerAddress(), "127.0.0.1:2")
	is.Equal(serve.GetPeers(), []string{"entry-2=10.0.0.2:1", "entry-3=10.0.0.3:1"})
	is.Equal(serve.GetOrdinal(), uint32(3))
	is.Equal(serve.GetTokenFile(), token)
	is.Equal(serve.GetDrainTimeout(), "30s")
	is.Equal(serve.GetInstancesPerDataCentre(), uint32(2))
}

// TestReadInvalidSettings guards against an invalid setting that is accepted or
// that is reported under another name.
func TestReadInvalidSettings(t *testing.T) {
	cases := map[string]struct{ flag, value string }{
		"no instance":           {"--instance", ""},
		"instance not a name":   {"--instance", "Entry 1"},
		"data centre with dot":  {"--data-centre", "penang.1"},
		"address without port":  {"--peer-address", "127.0.0.1"},
		"address by name":       {"--caller-address", "localhost:1"},
		"port out of range":     {"--operator-address", "127.0.0.1:65536"},
		"faulty peer":           {"--peers", "entry-2=127.0.0.1:1,x"},
		"peer without id":       {"--peers", "127.0.0.1:1"},
		"peer address by name":  {"--peers", "entry-2=localhost:1"},
		"no token file":         {"--token-file", ""},
		"duration without unit": {"--drain-timeout", "30"},
		"duration of zero":      {"--retention", "0s"},
		"missing file":          {"--token-file", "/nonexistent/token"},
		"directory as file":     {"--token-file", "/"},
		"negative number":       {"--ordinal", "-1"},
		"number out of range":   {"--data-centres", "4294967296"},
	}
	token := filepath.Join(t.TempDir(), "token")
	is.New(t).NoErr(os.WriteFile(token, []byte("x"), 0o600))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := read("--instance=entry-1", "--data-centre=penang-1", "--token-file="+token, c.flag+"="+c.value)
			var invalid *fault.List
			is.True(errors.As(err, &invalid))
			is.Equal(len(invalid.Faults), 1)
			is.Equal(invalid.Faults[0].Field, c.flag)
			is.Equal(fault.KindOf(err), fault.SettingsInvalid)
		})
	}
}

// TestReadAllFaults guards against an error that only reports the first fault.
func TestReadAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := read("--ordinal=x", "--retention=y", "--peer-address=z")
	var invalid *fault.List
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 6) // these three, and three missing required settings
}

// TestHelp guards against a help text without a flag's default, its environment
// variable or the word "Required." of a required setting.
func TestHelp(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cmd := &cli.Command{Name: "serve", Writer: &out, Flags: settings.Flags(&settingspb.Serve{})}
	is.NoErr(cmd.Run(context.Background(), []string{"serve", "--help"}))
	for _, text := range []string{"--peer-address", `(default: "127.0.0.1:7011")`, "$HORNBEAMLIFT_PEER_ADDRESS", "Required."} {
		is.True(strings.Contains(out.String(), text))
	}
}
