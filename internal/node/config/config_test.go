package config_test

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"lycheepick/internal/node/config"
)

const good = `{"vm":{"id":"node-1","incarnation":1,"zone":"zone-1"},
"listen":{"callers":"127.0.0.1:8001","peers":"127.0.0.1:9001"},
"platform":{"log":"http://127.0.0.1:7000","cloud":"http://127.0.0.1:7001"},"secret":{"env":"SECRET"}}`

func TestDecode(t *testing.T) {
	gm := gomega.NewWithT(t)
	set, err := config.Decode([]byte(good))
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	gm.Expect(set.Listen.Advertise).To(gomega.Equal("127.0.0.1:9001"))
	gm.Expect(set.Timing).To(gomega.Equal(config.Default().Timing))
}

// All problems of a settings file are reported in one error, as in the golden file.
func TestAllProblemsAtOnce(t *testing.T) {
	gm := gomega.NewWithT(t)
	bad := `{"vm":{"id":"","zone":"zone-1","rack":7},"listen":{"callers":"localhost:80","peers":"127.0.0.1:9001"},
"platform":{"log":"https://log","cloud":"http://127.0.0.1:7001"},"seeds":["nowhere"],"secret":{},
"limits":{"memory_bytes":1},"timing":{"gossip":"1ms"},"log":{"level":"loud"},"extra":true}`
	_, err := config.Decode([]byte(bad))
	gm.Expect(err).To(gomega.HaveOccurred())
	have := strings.ReplaceAll(err.Error(), "; ", "\n") + "\n"
	want, err := os.ReadFile("testdata/problems.golden")
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	gm.Expect(have).To(gomega.Equal(string(want)))
}

func TestSecret(t *testing.T) {
	gm := gomega.NewWithT(t)
	sc := config.Secret{Env: "LYCHEEPICK_TEST_SECRET"}
	_, err := sc.Read()
	gm.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("at least 16")))
	t.Setenv("LYCHEEPICK_TEST_SECRET", "sixteen bytes or more\n")
	raw, err := sc.Read()
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	gm.Expect(string(raw)).To(gomega.Equal("sixteen bytes or more"))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"vm":[]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = config.Decode(raw)
	})
}
