package toucanpeer

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
	// keyPrefix is where entries write their addresses, each under its name.
	keyPrefix = "toucanport/entries/"
	// leaseTTL is how long an entry is listed without a renewal.
	leaseTTL = 8 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 3 * time.Second
	registerRetry = 500 * time.Millisecond
)

// ReadPeers returns the entries among a store's values.
func ReadPeers(values map[string]toucanstore.Value) map[string]netip.AddrPort {
	peers := make(map[string]netip.AddrPort)
	for key, v := range values {
		name, ok := strings.CutPrefix(key, keyPrefix)
		if !ok {
			continue
		}
		// An address that can't be read names no peer.
		if address, err := netip.ParseAddrPort(string(v.Body)); err == nil {
			peers[name] = address
		}
	}
	return peers
}

// Register keeps this entry listed in the store until ctx ends, and takes it off then.
func Register(ctx context.Context, store toucanstore.Store, name, address string, log *slog.Logger) {
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

// register renews the lease, or writes the entry under a new one.
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
	held, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, toucanstore.ErrNotFound) {
		return err
	}
	if held.Revision != 0 {
		if err := store.Delete(ctx, key, held.Revision); err != nil {
			return err
		}
	}
	if _, err := store.CompareAndSwap(ctx, key, []byte(address), 0, toucanstore.WithLease(granted)); err != nil {
		return err
	}
	*lease = granted
	return nil
}
