// Package fault provides the error type that each package uses: the operation that failed, the
// kind of failure and the cause.
package fault

import (
	"time"

	"github.com/pkg/errors"
)

// Error is an error of one package. K is that package's own type of kinds.
type Error[K ~string] struct {
	// Op is the function that failed, such as "table.Decode".
	Op string
	// Kind tells callers how to handle the error.
	Kind K
	// Err is the cause and is never nil.
	Err error
}

// Error returns the operation, the kind and the cause on one line, separated by colons.
func (er *Error[K]) Error() string {
	return er.Op + ": " + string(er.Kind) + ": " + er.Err.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (er *Error[K]) Unwrap() error { return er.Err }

// New returns an error of kind kd with a formatted cause.
func New[K ~string](op string, kd K, format string, args ...any) error {
	return &Error[K]{Op: op, Kind: kd, Err: errors.Errorf(format, args...)}
}

// Wrap returns an error of kind kd with this cause, or nil if cause is nil.
func Wrap[K ~string](op string, kd K, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error[K]{Op: op, Kind: kd, Err: cause}
}

// Is tells whether err, or an error that it wraps, has kind kd of the same package.
func Is[K ~string](err error, kd K) bool {
	var fe *Error[K]
	return errors.As(err, &fe) && fe.Kind == kd
}

// retryAfter is an error with the time after which what failed may be tried again.
type retryAfter struct {
	error
	after time.Duration
}

// Unwrap returns the error, for errors.Is and errors.As.
func (ra *retryAfter) Unwrap() error { return ra.error }

// WithRetryAfter adds the time after which what failed may be tried again.
func WithRetryAfter(err error, after time.Duration) error {
	return &retryAfter{error: err, after: after}
}

// RetryAfter returns the time after which what failed may be tried again, 0 if it is not known.
func RetryAfter(err error) time.Duration {
	var ra *retryAfter
	if errors.As(err, &ra) {
		return ra.after
	}
	return 0
}
