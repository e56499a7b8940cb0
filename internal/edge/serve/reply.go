package serve

import (
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/state/answer"
)

// errorBody is the error response of the OpenAI API, extended by the outcome and the time
// to retry after.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
	// RetryAfter is in milliseconds, 0 if a retry is of no use.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
}

// status maps an error kind to the HTTP status and the OpenAI error type.
func status(code string) (int, string) {
	switch code {
	case string(KindUnauthorized):
		return fiber.StatusUnauthorized, "authentication_error"
	case string(KindNoRow):
		return fiber.StatusNotFound, "invalid_request_error"
	case string(KindBadRequest), string(flow.KindInvalid):
		return fiber.StatusBadRequest, "invalid_request_error"
	case string(KindSessionLost):
		return fiber.StatusGone, "invalid_request_error"
	case string(flow.KindLimit):
		return fiber.StatusTooManyRequests, "rate_limit_error"
	case string(flow.KindKeyBusy):
		return fiber.StatusConflict, "conflict_error"
	case string(flow.KindKeyConflict):
		return fiber.StatusUnprocessableEntity, "invalid_request_error"
	case string(flow.KindDeadline):
		return fiber.StatusGatewayTimeout, "timeout_error"
	case string(flow.KindBroken):
		return fiber.StatusBadGateway, "server_error"
	}
	return fiber.StatusServiceUnavailable, "server_error"
}

// codeOf returns the kind of an error of this package or of package flow.
func codeOf(err error) string {
	var own *Error
	if errors.As(err, &own) {
		return string(own.Kind)
	}
	var fe *flow.Error
	if errors.As(err, &fe) {
		return string(fe.Kind)
	}
	return "internal"
}

// detail returns the error body for a failure. The message leaves out the operation, which
// is internal.
func detail(fa *flow.Failure) errorDetail {
	code := codeOf(fa.Err)
	_, typ := status(code)
	return errorDetail{
		Message: message(fa.Err), Type: typ, Code: code,
		Outcome: fa.Outcome.String(), RetryAfter: fa.RetryAfter.Milliseconds(),
	}
}

func message(err error) string {
	var own *Error
	if errors.As(err, &own) {
		return own.Err.Error()
	}
	var fe *flow.Error
	if errors.As(err, &fe) {
		return fe.Err.Error()
	}
	return err.Error()
}

// fail sends the error response for a request without a complete response.
func fail(ct *fiber.Ctx, fa *flow.Failure) error {
	code, _ := status(codeOf(fa.Err))
	if fa.Outcome != answer.NotRun && answer.ImpliesNotRun(code) {
		code = fiber.StatusBadGateway
	}
	setRetryAfter(ct, fa.RetryAfter)
	ct.Set(HeaderOutcome, fa.Outcome.String())
	if fa.Outcome == answer.Unknown {
		// OpenAI client libraries retry server errors unless this header forbids it.
		ct.Set("X-Should-Retry", "false")
	}
	return ct.Status(code).JSON(errorBody{Error: detail(fa)})
}

// reject sends the error response for a request that was rejected before admission.
func reject(ct *fiber.Ctx, err error) error {
	fa := &flow.Failure{Outcome: answer.NotRun, Err: err}
	if fault.Is(err, KindNotReady) {
		fa.RetryAfter = time.Second
		if after := fault.RetryAfter(err); after > 0 {
			fa.RetryAfter = after
		}
	}
	return fail(ct, fa)
}

func setRetryAfter(ct *fiber.Ctx, after time.Duration) {
	if after <= 0 {
		return
	}
	ct.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	ct.Set("Retry-After-Ms", strconv.FormatInt(after.Milliseconds(), 10))
}

// handleError sends the error responses of fiber itself, such as for unknown paths.
func handleError(ct *fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		code = fe.Code
	}
	ct.Set(HeaderOutcome, answer.NotRun.String())
	return ct.Status(code).JSON(errorBody{Error: errorDetail{
		Message: err.Error(), Type: "invalid_request_error", Code: "http_" + strconv.Itoa(code), Outcome: answer.NotRun.String(),
	}})
}
