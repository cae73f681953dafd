package fleet

import (
	"context"
	"strconv"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
)

// Apply applies a configuration file as an operator does, and returns the
// revision of the configuration. If the apply itself fails, it returns the
// revision with the error.
func (f *Fleet) Apply(ctx context.Context, data []byte) (ident.Revision, error) {
	file, err := config.Parse(data)
	if err != nil {
		return 0, err
	}
	client, err := platform.New(platform.Settings{Address: f.StoreAddress, Clock: f.cfg.Clock})
	if err != nil {
		return 0, err
	}
	defer client.Close()
	f.mu.Lock()
	f.applies++
	id := "fleet-" + strconv.Itoa(f.applies)
	f.mu.Unlock()
	a := operator.NewApplier(client)
	a.Clock = f.cfg.Clock
	a.NewID = func() string { return id }
	plan, err := a.Plan(ctx, file, "fleet")
	if err != nil {
		return 0, err
	}
	return ident.Revision(plan.Next.Revision), a.Apply(ctx, plan)
}
