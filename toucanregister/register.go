// Package toucanregister keeps the list of entries in the store: each registers its address under a lease.
package toucanregister

import (
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanlog"
	"toucanport/toucanstore"
)

const (
	// keyPrefix is the store prefix under which entries register their addresses. The rest of the key is the entry's
	// name.
	keyPrefix = "toucanport/entries/"
	// leaseTTL is how long a registration outlives its last renewal.
	leaseTTL = 8 * time.Second
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 3 * time.Second
	// registerRetry is the time between attempts after a failed registration. It also limits the call that revokes the
	// lease.
	registerRetry = 500 * time.Millisecond
)

// ReadPeers returns the addresses of the entries that are registered in a store's values, by name.
func ReadPeers(values map[string]toucanstore.Value) map[string]netip.AddrPort {
	peers := make(map[string]netip.AddrPort)
	for key, v := range values {
		name, ok := strings.CutPrefix(key, keyPrefix)
		if !ok {
			continue
		}
		// Registrations with an invalid address are skipped.
		if address, err := netip.ParseAddrPort(string(v.Body)); err == nil {
			peers[name] = address
		}
	}
	return peers
}

// Keep keeps this entry registered in the store until ctx is done, and then revokes its lease.
func Keep(ctx context.Context, store toucanstore.Store, name, address string, log *slog.Logger) {
	var lease toucanstore.Lease
	registered := false
	for {
		err := register(ctx, store, name, address, &lease)
		if err != nil && ctx.Err() == nil && registered {
			log.Warn(toucanlog.MsgUnlisted, toucanlog.Cause, err.Error())
		}
		registered = err == nil
		wait := renewInterval
		if err != nil {
			wait = registerRetry
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			revoke(context.WithoutCancel(ctx), store, lease, log)
			return
		}
	}
}

func revoke(ctx context.Context, store toucanstore.Store, lease toucanstore.Lease, log *slog.Logger) {
	if lease.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerRetry)
	defer cancel()
	if err := store.Revoke(ctx, lease); err != nil {
		log.Warn(toucanlog.MsgStaysListed, toucanlog.Cause, err.Error())
	}
}

// register renews the lease, or registers the entry under a new one if there is none or it has expired.
func register(ctx context.Context, store toucanstore.Store, name, address string, lease *toucanstore.Lease) error {
	if lease.ID != "" {
		err := store.KeepAlive(ctx, *lease)
		if !errors.Is(err, toucanstore.ErrNotFound) {
			return err
		}
		*lease = toucanstore.Lease{}
	}
	granted, err := store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	key := keyPrefix + name
	existing, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, toucanstore.ErrNotFound) {
		return err
	}
	if existing.Revision != 0 {
		if err := store.Delete(ctx, key, existing.Revision); err != nil {
			return err
		}
	}
	if _, err := store.CompareAndSwap(ctx, key, []byte(address), 0, toucanstore.WithLease(granted)); err != nil {
		return err
	}
	*lease = granted
	return nil
}
