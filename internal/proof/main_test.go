// Package proof brings about the failures that lycheepick is meant for, with real
// processes and with the decision packages alone.
package proof_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	_ "lycheepick/internal/fake/seed"
)

// programs holds the folder of the three programs, built once for all scripts.
var programs string

var buildFlags = []string{"build"}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		panic(err)
	}
	programs = dir
	code := 1
	if out, err := exec.Command("go", append(buildFlags, "-o", dir, "../../cmd/...")...).CombinedOutput(); err != nil {
		println(string(out))
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestReal runs the scripts that drive real processes.
func TestReal(t *testing.T) {
	scripts, err := filepath.Glob("testdata/real/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/real",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", nodeBuild(0)+string(os.PathListSeparator)+os.Getenv("PATH"))
			env.Values[fleetKey{}] = newProcs(env)
			return nil
		},
		Cmds: realCommands,
	})
}
