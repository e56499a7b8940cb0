package scale

import "time"

const (
	// RetryPeriod is the time after which an order that was refused, or that is no longer met, is sent again.
	RetryPeriod = 2 * time.Second
	// confirmPeriod is the time after which an order is sent again even if it is met, since a late call of
	// an earlier leader may have overwritten it. One that has an effect shows in the number of servers.
	confirmPeriod = 30 * time.Second
)

// Sent is the last order for a group of servers, zero before the first one.
type Sent struct {
	Count    int
	At       time.Time
	Accepted bool
	// Met is set once so many servers served.
	Met bool
}

// Seen takes note that have servers serve where want are to.
func (se Sent) Seen(want, have int) Sent {
	se.Met = se.Met || se.Accepted && se.Count == want && have == want
	return se
}

// IsDue reports whether an order for want servers is to be sent, where have serve and new ones take boot to
// start.
func (se Sent) IsDue(now time.Time, want, have int, boot time.Duration) bool {
	age := now.Sub(se.At)
	switch {
	case se.At.IsZero():
		return want != 0 || have != 0
	case !se.Accepted:
		return age >= RetryPeriod
	case se.Count != want:
		return true
	case have == want:
		return age >= confirmPeriod
	case !se.Met:
		return age >= boot+RetryPeriod
	}
	return age >= RetryPeriod
}
