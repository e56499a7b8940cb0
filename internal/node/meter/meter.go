// Package meter encodes a go-metrics registry in the Prometheus text format.
package meter

import (
	"bytes"
	"sort"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"

	"lycheepick/internal/rule/fault"
)

// Kind tells why metrics could not be encoded.
type Kind string

// KindFormat marks a metric that the format can't express.
const KindFormat Kind = "format"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// namePrefix is prepended to the name of each metric.
const namePrefix = "lycheepick_"

// Text returns all metrics of a registry, by name, and the content type. Counters, gauges and
// histograms are encoded, the latter as summaries; other types are left out.
func Text(rg metrics.Registry) (text []byte, contentType string, err error) {
	const op = "meter.Text"
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	var buf bytes.Buffer
	enc := expfmt.NewEncoder(&buf, format)
	for _, fam := range families(rg) {
		if err := enc.Encode(fam); err != nil {
			return nil, "", fault.Wrap(op, KindFormat, err)
		}
	}
	return buf.Bytes(), string(format), nil
}

func families(rg metrics.Registry) []*dto.MetricFamily {
	var out []*dto.MetricFamily
	rg.Each(func(name string, val any) {
		if fam := family(namePrefix+name, val); fam != nil {
			out = append(out, fam)
		}
	})
	sort.Slice(out, func(one, two int) bool { return out[one].GetName() < out[two].GetName() })
	return out
}

func family(name string, val any) *dto.MetricFamily {
	switch me := val.(type) {
	case metrics.Counter:
		return single(name, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: floatPtr(me.Count())}})
	case metrics.Gauge:
		return single(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: floatPtr(me.Value())}})
	case metrics.Histogram:
		return summary(name, me)
	}
	return nil
}

func single(name string, typ dto.MetricType, me *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: &name, Type: &typ, Metric: []*dto.Metric{me}}
}

func floatPtr(val int64) *float64 {
	out := float64(val)
	return &out
}

func summary(name string, hi metrics.Histogram) *dto.MetricFamily {
	sn := hi.Snapshot()
	count := uint64(sn.Count())
	sum := float64(sn.Sum())
	out := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for _, qu := range []float64{0.5, 0.95, 0.99} {
		val := sn.Percentile(qu)
		out.Quantile = append(out.Quantile, &dto.Quantile{Quantile: &qu, Value: &val})
	}
	return single(name, dto.MetricType_SUMMARY, &dto.Metric{Summary: out})
}
