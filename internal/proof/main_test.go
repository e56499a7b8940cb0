// Package proof holds the end-to-end tests. Scripts inject failures into a fleet of real
// processes, and into a simulated fleet of the decision packages under a virtual clock.
package proof_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	_ "lycheepick/internal/fake/seed"
)

// binDir is the folder of the binaries, which TestMain builds once for all scripts.
var binDir string

var buildFlags = []string{"build"}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	binDir = dir
	code := 1
	if out, err := exec.Command("go", append(buildFlags, "-o", dir, "../../cmd/...")...).CombinedOutput(); err != nil {
		println(string(out))
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestReal runs the scripts in testdata/real, which control real processes.
func TestReal(t *testing.T) {
	scripts, err := filepath.Glob("testdata/real/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts in testdata/real")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/real",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", nodeBuildDir(0)+string(os.PathListSeparator)+os.Getenv("PATH"))
			env.Values[procsKey{}] = newProcs(env)
			return nil
		},
		Cmds: realCommands,
	})
}
