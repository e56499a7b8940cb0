// Package routes holds one version of the operators' configuration: routes by host and
// path, services, customers and limits on what callers may send.
//
// A Config is immutable once it is indexed, so it can be shared through an atomic pointer
// and read without locks.
package routes

import (
	"sort"
	"strings"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells why a configuration was rejected.
type Kind string

// The kinds of error of this package.
const (
	// KindInvalid marks a configuration that lacks a required value.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RetryPolicy tells whether and how a failed request may be sent again.
type RetryPolicy int

// The retry policies.
const (
	// AtMostOnce marks requests that must not run more than once.
	AtMostOnce RetryPolicy = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Resumable marks streams that may be continued on another backend server.
	Resumable
)

// WeightedService is one service of a route and its share of the requests, which is Weight
// divided by the sum of the route's weights.
type WeightedService struct {
	Service units.TargetID
	Weight  int
}

// Route maps the requests of one host and path prefix to services, with their timeouts,
// latency targets and retry policy.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream is set if the answers are event streams.
	Stream      bool
	RetryPolicy RetryPolicy
	// Timeout bounds the time until the whole answer is delivered.
	Timeout time.Duration
	// TargetLatency is the target for the time to the answer, or to the first event of a
	// stream.
	TargetLatency time.Duration
	// TargetEventGap is the target for the longest time between two events of a stream.
	TargetEventGap time.Duration
	// Priority orders requests by urgency; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of backend servers that one request is sent to.
	MaxAttempts int
	// AllowAnonymous is set if requests need no API key.
	AllowAnonymous bool
	// TrafficSplit lists the services of the route; it is not empty and all weights are above
	// 0.
	TrafficSplit []WeightedService
}

// Engine describes the model servers of a service; Slots and CacheTokens are per server.
type Engine struct {
	Slots       int
	CacheTokens units.Tokens
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Scaling configures how many backend servers may be ordered for a service, and their
// prices.
type Scaling struct {
	// MinServers and MaxServers bound the servers of one zone, spot servers included.
	MinServers, MaxServers int
	// BootTime is the time from the order of a server until it accepts requests.
	BootTime time.Duration
	// SpotPrice is the price of a spot server relative to an on-demand one.
	SpotPrice float64
	// ZonePrices are relative prices by zone.
	ZonePrices map[units.ZoneID]float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	ID         units.TargetID
	HealthPath string
	// Connections bounds the connections of all nodes together to one server.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil for services whose servers are not ordered by Lycheepick.
	Scaling *Scaling
}

// Customer is the owner of API keys, with its limits.
type Customer struct {
	ID   units.CustomerID
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, per second, and Burst limit what all nodes together admit, in requests or, if
	// LimitsInTokens is set, in tokens; 0 means no limit.
	Rate, Burst float64
	// LimitsInTokens is set if the limits count tokens. DefaultTokens is then the size of a
	// request that does not state one.
	LimitsInTokens bool
	DefaultTokens  float64
}

// Limits bounds the size of requests and the time that callers may take to send them.
type Limits struct {
	MaxHeader, MaxBody units.Bytes
	// HeaderTimeout bounds the time to read a header, IdleTimeout the time between requests
	// of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration. Index must be called before look-ups.
type Config struct {
	Version   units.Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
	// Contended is set by Index if a service has a route whose target latency is at least contendedRatio times that of a
	// more urgent route. Requests of the former fill the servers' queues beyond the target of the latter.
	Contended bool

	byHost   map[string][]*Route
	byKey    map[string]*Customer
	services map[units.TargetID]*Service
}

// contendedRatio is the ratio of two target latencies of one service from which on its routes compete for servers.
const contendedRatio = 1.5

// Index validates a configuration and builds its look-up tables. It returns an Error of
// KindInvalid if the version or the services of a route are missing.
func (co *Config) Index() error {
	const op = "routes.Index"
	if co.Version == 0 {
		return fault.New(op, KindInvalid, "version is missing or 0")
	}
	co.byHost = map[string][]*Route{}
	co.byKey = map[string]*Customer{}
	co.services = make(map[units.TargetID]*Service, len(co.Services))
	for idx := range co.Services {
		co.services[co.Services[idx].ID] = &co.Services[idx]
	}
	for idx := range co.Routes {
		ro := &co.Routes[idx]
		if len(ro.TrafficSplit) == 0 {
			return fault.New(op, KindInvalid, "route %q has no service with a weight above 0", ro.Name)
		}
		host := strings.ToLower(ro.Host)
		co.byHost[host] = append(co.byHost[host], ro)
	}
	for _, list := range co.byHost {
		sort.SliceStable(list, func(one, two int) bool { return len(list[one].Prefix) > len(list[two].Prefix) })
	}
	for idx := range co.Customers {
		for _, key := range co.Customers[idx].Keys {
			co.byKey[key] = &co.Customers[idx]
		}
	}
	co.Contended = co.isContended()
	return nil
}

// isContended computes Contended.
func (co *Config) isContended() bool {
	byService := map[units.TargetID][]*Route{}
	for idx := range co.Routes {
		for _, sh := range co.Routes[idx].TrafficSplit {
			byService[sh.Service] = append(byService[sh.Service], &co.Routes[idx])
		}
	}
	for _, list := range byService {
		for _, ro := range list {
			for _, urgent := range list {
				if urgent.Priority < ro.Priority && urgent.TargetLatency > 0 && float64(ro.TargetLatency) >= contendedRatio*float64(urgent.TargetLatency) {
					return true
				}
			}
		}
	}
	return false
}

// Find returns the route of host with the longest prefix of path, or nil. The case of host
// is ignored.
func (co *Config) Find(host, path string) *Route {
	for _, ro := range co.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro
		}
	}
	return nil
}

// Customer returns the owner of an API key, or nil.
func (co *Config) Customer(key string) *Customer { return co.byKey[key] }

// Service returns the service with an id, or nil.
func (co *Config) Service(id units.TargetID) *Service { return co.services[id] }

// Pick selects a service in proportion to the weights. Requests with equal hashes get the
// same service.
func (ro *Route) Pick(hash uint64) units.TargetID {
	if len(ro.TrafficSplit) == 1 {
		return ro.TrafficSplit[0].Service
	}
	total := 0
	for _, sh := range ro.TrafficSplit {
		total += sh.Weight
	}
	at := int(hash % uint64(max(total, 1)))
	for _, sh := range ro.TrafficSplit {
		if at < sh.Weight {
			return sh.Service
		}
		at -= sh.Weight
	}
	return ro.TrafficSplit[0].Service
}

// Priority returns the priority of a request of cu on ro; cu is nil for anonymous requests.
func Priority(ro *Route, cu *Customer) int {
	if cu != nil && cu.HasPriority {
		return cu.Priority
	}
	return ro.Priority
}
