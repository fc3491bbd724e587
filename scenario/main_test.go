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

// maxParallelScripts limits the scripts that run in parallel: each starts up to
// 20 processes, and on an overloaded host their leases expire before they
// are renewed.
const maxParallelScripts = 2

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"celeryhook": func() {
			withPartitions := func(d app.Dialer) app.Dialer { return newPartitionDialer(d, os.Getenv(partitionsEnv)) }
			os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr, fx.Decorate(withPartitions)))
		},
	})
}

// Guards against a killed or suspended process, a network partition, an
// injected fault or an operator's command that violates a guarantee of
// docs/design.md; docs/PROOFS.md lists what each script covers.
func TestScenarios(t *testing.T) {
	sem := make(chan struct{}, maxParallelScripts)
	testscript.Run(t, testscript.Params{
		Dir:                 *scriptDir,
		RequireExplicitExec: true,
		Cmds:                commands(),
		Setup: func(env *testscript.Env) error {
			sem <- struct{}{}
			if err := os.CopyFS(filepath.Join(env.WorkDir, "common"), os.DirFS("testdata/common")); err != nil {
				return err
			}
			c := newCluster(env)
			env.Values[clusterKey{}] = c
			env.Defer(func() {
				t, ok := env.T().(interface{ Failed() bool })
				keep := ok && t.Failed() && *logDir != ""
				if keep {
					c.saveStatus()
				}
				c.close()
				if keep {
					dest := filepath.Join(*logDir, filepath.Base(env.WorkDir))
					_ = os.RemoveAll(dest)
					_ = os.CopyFS(dest, os.DirFS(env.WorkDir))
				}
				<-sem
			})
			return nil
		},
	})
}
