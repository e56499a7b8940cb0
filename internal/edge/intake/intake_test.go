package intake_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lycheepick/internal/edge/intake"
)

// TestNoRequestBeginsAfterTheLast guards against a request that begins when the intake has been closed and the last
// request has ended.
func TestNoRequestBeginsAfterTheLast(t *testing.T) {
	for num := range 400 {
		var in intake.Intake
		end := in.Close
		if num%2 == 0 {
			end = in.CloseAtIdle
		}
		var inProgress, total atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for in.Enter() {
					inProgress.Add(1)
					total.Add(1)
					inProgress.Add(-1)
					in.Leave()
				}
			})
		}
		for total.Load() == 0 {
			time.Sleep(time.Microsecond)
		}
		<-end()
		if have := inProgress.Load(); have != 0 {
			t.Fatalf("in progress: have %d, want 0", have)
		}
		before := total.Load()
		wg.Wait()
		if after := total.Load(); after != before {
			t.Fatalf("began after the last request had ended: have %d, want 0", after-before)
		}
	}
}

// TestCloseWaitsForRequests checks that a closed intake is idle at the end of its last request, and that it may
// be closed again.
func TestCloseWaitsForRequests(t *testing.T) {
	var in intake.Intake
	for range 2 {
		if !in.Enter() {
			t.Fatal("an open intake takes no request")
		}
	}
	idle := in.Close()
	if in.Enter() {
		t.Error("a closed intake takes a request")
	}
	in.Leave()
	select {
	case <-idle:
		t.Fatal("idle with a request in progress")
	default:
	}
	in.Leave()
	<-idle
	<-in.Close()
}

// TestCloseAtIdleTakesUntilThen checks that an intake that is to be closed when it is idle takes requests until then.
func TestCloseAtIdleTakesUntilThen(t *testing.T) {
	var in intake.Intake
	if !in.Enter() {
		t.Fatal("an open intake takes no request")
	}
	idle := in.CloseAtIdle()
	if !in.Enter() {
		t.Error("it takes no request beside another one")
	}
	in.Leave()
	in.Leave()
	<-idle
	if in.Enter() {
		t.Error("a closed intake takes a request")
	}
	<-in.Close()
}
