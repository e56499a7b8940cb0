package answer

import "net/http"

// ImpliesNotRun returns true for an HTTP status by which callers conclude that the request did not run. It is sent only for requests in the
// state NotRun. The answer of a server proves it only if the server says so by other means as well.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
