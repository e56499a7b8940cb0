package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/retry"
)

// TestBudgetBoundsAmplification checks that retries add at most a tenth to the load beyond the
// reserve, whatever fails.
func TestBudgetBoundsAmplification(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bu := retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
		firsts := rapid.IntRange(1, 5000).Draw(rt, "requests")
		share := rapid.Float64Range(0, 1).Draw(rt, "failing")
		rnd := rand.New(rand.NewPCG(uint64(firsts), 1))
		retries, unlimited := 0, 0
		for range firsts {
			bu.RecordFirst()
			for range 3 {
				if rnd.Float64() >= share {
					break
				}
				unlimited++
				if bu.Spend() {
					retries++
				}
			}
		}
		if maxRetries := retry.DefaultShare*float64(firsts) + retry.DefaultReserve; float64(retries) > maxRetries {
			rt.Fatalf("%d retries for %d requests exceed the budget", retries, firsts)
		}
		if share > 0.5 && firsts > 1000 && unlimited < firsts/2 {
			rt.Fatalf("retries without a budget should amplify: have %d for %d requests", unlimited, firsts)
		}
	})
}

func TestDeadServerCostsFewRequests(t *testing.T) {
	gm := gomega.NewWithT(t)
	he := &retry.Health{}
	now := time.Unix(0, 0)
	lost := 0
	for range 1000 { // Ten seconds of requests to a server that doesn't respond.
		now = now.Add(10 * time.Millisecond)
		if he.Usable() {
			lost++
			he.Failed(now)
		}
		he.Probed(now, false)
	}
	gm.Expect(lost).To(gomega.BeNumerically("<=", 3))
	gm.Expect(he.Usable()).To(gomega.BeFalse())
}

func TestServerComesBackByProbing(t *testing.T) {
	gm := gomega.NewWithT(t)
	he := &retry.Health{}
	now := time.Unix(0, 0)
	gm.Expect(he.Failed(now)).To(gomega.Equal(retry.Unchanged))
	gm.Expect(he.Failed(now)).To(gomega.Equal(retry.Unchanged))
	gm.Expect(he.Failed(now)).To(gomega.Equal(retry.Ejected))
	gm.Expect(he.Probed(now.Add(time.Second), true)).To(gomega.Equal(retry.Unchanged), "it stays ejected for 2 s")
	gm.Expect(he.Probed(now.Add(2*time.Second), true)).To(gomega.Equal(retry.Returned))
	gm.Expect(he.Failed(now.Add(2*time.Second))).To(gomega.Equal(retry.Ejected), "one more failure ejects it again")
	gm.Expect(he.Probed(now.Add(4*time.Second), true)).To(gomega.Equal(retry.Unchanged), "the second ejection lasts longer")
	gm.Expect(he.Probed(now.Add(6*time.Second), true)).To(gomega.Equal(retry.Returned))
	gm.Expect(he.Succeeded()).To(gomega.Equal(retry.Unchanged))
	gm.Expect(he.Usable()).To(gomega.BeTrue())
}

func TestBackoffHasJitterAndABound(t *testing.T) {
	gm := gomega.NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	for num := range 30 {
		gm.Expect(retry.Backoff(num, rnd)).To(gomega.BeNumerically("<", time.Second))
	}
}
