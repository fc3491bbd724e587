package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/app"
	"celeryhook.example/celeryhook/internal/command"
)

var (
	scriptDir = flag.String("scenario.dir", "testdata", "directory of the scripts")
	logDir    = flag.String("scenario.logs", "", "directory that keeps the logs of failed scripts")
)

// concurrent bounds the scripts that run at a time: each has up to 20
// processes, whose leases end when the machine is too busy to renew them.
const concurrent = 2

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"celeryhook": func() {
			cuts := func(d app.Dialer) app.Dialer { return newCutDialer(d, os.Getenv(cutsVariable)) }
			os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr, fx.Decorate(cuts)))
		},
	})
}

// Guards against a loss, freeze, cut, fault or operator's act that breaks a
// promise of docs/design.md; docs/PROOFS.md lists which script covers what.
func TestScenarios(t *testing.T) {
	places := make(chan struct{}, concurrent)
	testscript.Run(t, testscript.Params{
		Dir:                 *scriptDir,
		RequireExplicitExec: true,
		Cmds:                commands(),
		Setup: func(env *testscript.Env) error {
			places <- struct{}{}
			if err := os.CopyFS(filepath.Join(env.WorkDir, "common"), os.DirFS("testdata/common")); err != nil {
				return err
			}
			w := newWorld(env)
			env.Values[worldKey{}] = w
			env.Defer(func() {
				t, ok := env.T().(interface{ Failed() bool })
				keep := ok && t.Failed() && *logDir != ""
				if keep {
					w.saveStatus()
				}
				w.close()
				if keep {
					to := filepath.Join(*logDir, filepath.Base(env.WorkDir))
					_ = os.RemoveAll(to)
					_ = os.CopyFS(to, os.DirFS(env.WorkDir))
				}
				<-places
			})
			return nil
		},
	})
}
