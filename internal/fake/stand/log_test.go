package stand

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Records must not expire because the wall clock is set, as it is when a VM resumes.
func TestLogOutlivesClockStep(t *testing.T) {
	gm := gomega.NewWithT(t)
	lo := NewLog(time.Minute)
	step := time.Duration(0)
	lo.wallClock = func() time.Time { return time.Now().Add(step) }
	for _, step = range []time.Duration{-time.Hour, time.Hour} {
		rq := httptest.NewRequest(http.MethodPost, "/streams/table/records", strings.NewReader(`{}`))
		an, err := lo.App().Test(rq)
		gm.Expect(err).NotTo(gomega.HaveOccurred())
		gm.Expect(an.Body.Close()).To(gomega.Succeed())
	}
	page, _ := lo.page("table", 0, 10)
	gm.Expect(page.Records).To(gomega.HaveLen(2))
}
