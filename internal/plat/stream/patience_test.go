package stream_test

import (
	"fmt"
	"time"

	"lycheepick/internal/plat/stream"
)

func ExamplePatience() {
	pa := &stream.Patience{Least: 1500 * time.Millisecond, Most: 6 * time.Second}
	fmt.Println(pa.Limit())
	one, other := pa.Limit(), pa.Limit()
	pa.Unanswered(one)
	pa.Unanswered(other)
	fmt.Println(pa.Limit(), "after two calls beside each other")
	pa.Unanswered(pa.Limit())
	pa.Unanswered(pa.Limit())
	fmt.Println(pa.Limit())
	pa.Answered(2 * time.Second)
	fmt.Println(pa.Limit(), "as long as answers are slow")
	pa.Answered(4 * time.Millisecond)
	fmt.Println(pa.Limit())
	// Output:
	// 1.5s
	// 3s after two calls beside each other
	// 6s
	// 4s as long as answers are slow
	// 1.5s
}
