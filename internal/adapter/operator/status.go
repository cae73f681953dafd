package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// maxStatusBytes is the maximum size of a status report that is read.
const maxStatusBytes = 16 << 20

// FetchStatus returns the status report of an instance. The address is that of
// its HTTP API for operators, in the form "IP:port". The error has kind
// fault.SettingsInvalid if the address is invalid, fault.Unauthorized if the
// instance rejects the token, and fault.HomeUnreachable if it does not respond
// with a status report.
func FetchStatus(ctx context.Context, client *http.Client, address, token string) (json.RawMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, fault.RanNo).WithField("--address")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.HomeUnreachable, fault.RanNo)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.HomeUnreachable, fault.RanNo)
	case resp.StatusCode == http.StatusUnauthorized:
		return nil, fault.New(fault.Unauthorized, fault.RanNo).WithDetail("the instance requires a valid token")
	case resp.StatusCode != http.StatusOK || !json.Valid(data):
		return nil, fault.New(fault.HomeUnreachable, fault.RanNo).WithDetail("the instance returned HTTP status " + strconv.Itoa(resp.StatusCode) + " without a status report")
	}
	return data, nil
}
