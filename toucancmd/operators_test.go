package toucancmd

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"toucanport/toucanclient"
	"toucanport/toucancmd/factory"
	"toucanport/toucancontrol"
	"toucanport/toucanfakestore"
	"toucanport/toucanoperate"
	"toucanport/toucanreplicate"
	"toucanport/toucansettings"
)

const bootstrapCredential = "first-credential"

// entryFixture serves the operators' interface of one entry, backed by a fake store, for test scripts.
type entryFixture struct {
	store  *toucanfakestore.Memory
	holder *toucanreplicate.Holder

	mu sync.Mutex
	// lag holds the revisions in force at the sidecar while it lags; nil if the sidecar is up to date.
	lag []toucanreplicate.Revision
}

// Status implements toucanoperate.StatusSource; it reports the entry itself and one sidecar.
func (f *entryFixture) Status() toucanoperate.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := toucanoperate.Instance{Instance: "entry-1", Role: "entry", Documents: f.holder.Revisions(), Answers: true}
	sidecar := toucanoperate.Instance{Instance: "sidecar-1", Role: "sidecar", Documents: self.Documents, Answers: true}
	if f.lag != nil {
		sidecar.Documents = f.lag
	}
	return toucanoperate.Status{Self: self, Peers: []toucanoperate.Instance{sidecar}}
}

// startEntryFixture serves the operators' interface on loopback until the test ends and sets the script's
// environment variables for address and credentials.
func startEntryFixture(env *testscript.Env) (*entryFixture, error) {
	f := &entryFixture{store: toucanfakestore.New(), holder: toucanreplicate.NewHolder()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	control := toucancontrol.New(toucancontrol.Config{
		Store:         f.store,
		Holder:        f.holder,
		Local:         f,
		BootstrapHash: toucansettings.HashKey(bootstrapCredential),
		Log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	done := make(chan struct{})
	go func() {
		_ = control.Run(ctx, ln)
		close(done)
	}()
	env.Defer(func() {
		cancel()
		<-done
	})
	env.Setenv(factory.EnvAddress, ln.Addr().String())
	env.Setenv("BOOTSTRAP", bootstrapCredential)
	for _, name := range []string{"ann", "laval", "totora"} {
		env.Setenv(name, "credential-of-"+name)
		env.Setenv(name+"Hash", toucansettings.HashKey("credential-of-"+name))
	}
	return f, nil
}

type fixtureKey struct{}

// TestOperatorScripts runs scripts against the operators' interface of an entry. The script commands store and lag
// inject faults.
func TestOperatorScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/operators",
		Setup: func(env *testscript.Env) error {
			f, err := startEntryFixture(env)
			env.Values[fixtureKey{}] = f
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"store": storeCmd,
			"lag":   lagCmd,
		},
	})
}

var scriptFaults = map[string]toucanfakestore.Faults{
	"up":            {},
	"down":          {Down: true},
	"losesReplies":  {LostReplyShare: 1},
	"losesRequests": {LostRequestShare: 1},
}

func storeCmd(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fixtureKey{}).(*entryFixture)
	f.store.SetFaults(scriptFaults[args[0]])
}

// lagCmd freezes the revisions in force at the sidecar (lag on), or brings it up to date again (lag off).
func lagCmd(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fixtureKey{}).(*entryFixture)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = nil
	if args[0] == "on" {
		f.lag = f.holder.Revisions()
	}
}

func TestExitCodes(t *testing.T) {
	answered := func(code string) error {
		return errors.WithMessage(&toucanclient.APIError{Body: toucanoperate.Error{Code: code}}, "set")
	}
	for _, c := range []struct {
		err  error
		want int
	}{
		{nil, factory.ExitOK},
		{errors.Wrap(factory.ErrUsage, "flag"), factory.ExitUsage},
		{factory.Reported(factory.ErrUsage), factory.ExitUsage},
		{answered(toucanoperate.CodeConflict), factory.ExitConflict},
		{answered(toucanoperate.CodeBaseTooOld), factory.ExitConflict},
		{answered(toucanoperate.CodeOutcomeUnknown), factory.ExitOutcomeUnknown},
		{answered(toucanoperate.CodeStoreDown), factory.ExitFailed},
		{answered(toucanoperate.CodeRefused), factory.ExitFailed},
		{answered(toucanoperate.CodeInvalid), factory.ExitFailed},
	} {
		assert.Equal(t, factory.ExitCode(c.err), c.want, "%v", c.err)
	}
}
