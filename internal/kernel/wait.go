package kernel

import (
	"context"
	"time"
)

// Wait returns after the delay, or with the error of the context when that ends first.
func Wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
