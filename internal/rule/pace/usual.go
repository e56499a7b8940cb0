package pace

import (
	"slices"
	"time"

	"lycheepick/internal/rule/bound"
)

const (
	// usualSamples are the answers from which the usual time is taken, and minUsual the fewest of them.
	usualSamples, minUsual = 64, 8
	// usualQuantile is low, so that answers that had to queue don't raise the usual time.
	usualQuantile = 0.25
	// usualExpiry is the age from which on an answer doesn't count.
	usualExpiry = 30 * time.Second
	// maxRise bounds the rise of the usual time by one answer: while all servers have queues, the low quantile rises too.
	maxRise = 1.01
	// minUsualTime and maxUsualTime bound the usual time.
	minUsualTime, maxUsualTime = time.Millisecond, 10 * time.Second
)

// Time is the usual time of the answers of a service: a low quantile of the latest ones. The zero value knows no answer.
type Time struct {
	samples []sample
	next    int
	usual   time.Duration
}

type sample struct {
	at   time.Time
	took time.Duration
}

// Add takes the time of one answer.
func (ti *Time) Add(now time.Time, took time.Duration) {
	sa := sample{at: now, took: bound.Clamp(took, minUsualTime, maxUsualTime)}
	if len(ti.samples) < usualSamples {
		ti.samples = append(ti.samples, sa)
	} else {
		ti.samples[ti.next] = sa
		ti.next = (ti.next + 1) % usualSamples
	}
	var buf [usualSamples]time.Duration
	recent := buf[:0]
	for _, sa := range ti.samples {
		if now.Sub(sa.at) <= usualExpiry {
			recent = append(recent, sa.took)
		}
	}
	if len(recent) < minUsual {
		return
	}
	slices.Sort(recent)
	low := recent[int(usualQuantile*float64(len(recent)))]
	if ti.usual > 0 {
		low = min(low, time.Duration(float64(ti.usual)*maxRise))
	}
	ti.usual = low
}

// Usual returns the usual time, 0 until there have been enough answers.
func (ti *Time) Usual() time.Duration { return ti.usual }

const (
	// ratioSamples are the answers from which the ratio of a server is taken, minRatios the fewest of them.
	ratioSamples, minRatios = 8, 4
	// ratioStep is the part of the samples below the ratio: a momentary slowness or a queue doesn't count.
	ratioStep = 3
	// minRatio is the least ratio of a server.
	minRatio = 0.5
	// MaxRatio is the largest ratio of a server.
	MaxRatio = 3
)

// lowest holds the latest ratios of a server.
type lowest struct {
	list  [ratioSamples]float32
	count int
	// low is the low quantile of the list, 0 while there are too few.
	low float64
}

func (lo *lowest) add(sample float64) {
	lo.list[lo.count%ratioSamples] = float32(bound.Clamp(sample, minRatio, MaxRatio))
	if lo.count++; lo.count < minRatios {
		return
	}
	sorted := lo.list
	part := sorted[:min(lo.count, ratioSamples)]
	slices.Sort(part)
	lo.low = float64(part[(len(part)-1)/ratioStep])
}

func (lo *lowest) value() float64 {
	if lo.low == 0 {
		return 1
	}
	return lo.low
}

// waitSamples are the answers from which the median wait is taken.
const waitSamples = 15

// Waits is the median of the latest waits at all servers of a service. The zero value knows none.
type Waits struct {
	list   [waitSamples]time.Duration
	count  int
	median time.Duration
	at     time.Time
}

// Add takes the wait of a prompt whose answer has begun.
func (wa *Waits) Add(now time.Time, wait time.Duration) {
	wa.list[wa.count%waitSamples] = bound.Clamp(wait, 0, MaxWait)
	wa.count++
	wa.at = now
	sorted := wa.list
	part := sorted[:min(wa.count, waitSamples)]
	slices.Sort(part)
	wa.median = part[(len(part)-1)/2]
}

// Median returns the median wait, as far as there are recent answers.
func (wa *Waits) Median(now time.Time) time.Duration {
	return time.Duration(Weight(now, wa.at) * float64(wa.median))
}

// errorWeight is the weight of one answer in the smoothed error.
const errorWeight = 1.0 / 32

// Errors smooths how far predictions are from what was measured.
type Errors struct {
	mean  float64
	count int
}

// Add takes a prediction and what was measured.
func (er *Errors) Add(predicted, took time.Duration) {
	er.count++
	diff := (took - predicted).Abs().Seconds()
	er.mean += (diff - er.mean) * max(errorWeight, 1/float64(er.count))
}

// Mean returns the mean difference, 0 before the first answer.
func (er *Errors) Mean() time.Duration { return time.Duration(er.mean * float64(time.Second)) }
