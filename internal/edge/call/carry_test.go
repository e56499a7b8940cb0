package call_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
)

var _ = ginkgo.Describe("a request that is sent again", func() {
	ginkgo.It("goes out on a connection that has not carried it", func() {
		var requests atomic.Int64
		sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			_, _ = io.WriteString(wr, "ok")
		}))
		ginkgo.DeferCleanup(sv.CloseClientConnections)
		cl := call.NewCaller()
		do := func(tag string) bool {
			var req fasthttp.Request
			req.SetRequestURI(sv.URL)
			an, err := cl.DoIf(context.Background(), strings.TrimPrefix(sv.URL, "http://"), &req, call.Conditions{Tag: tag})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.ReadAll(an.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			an.Close()
			return an.First
		}
		gomega.Expect([]bool{do("a"), do("b"), do("a"), do("c")}).To(gomega.Equal([]bool{true, false, true, false}))
		gomega.Expect(requests.Load()).To(gomega.Equal(int64(4)))
	})
})
