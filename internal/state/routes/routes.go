// Package routes holds one version of the configuration that a fleet's operators
// publish: routes by host and path, services, customers and what callers may send.
//
// A Config is immutable once it is indexed, so that it can be read behind an atomic
// pointer without locks.
package routes

import (
	"sort"
	"strings"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells why a configuration can't be used.
type Kind string

// The kinds of error of this package.
const (
	// KindInvalid marks a configuration that contradicts itself.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Repeat tells what may be done with a request that has failed.
type Repeat int

// The ways to repeat.
const (
	// Once marks requests that run at most once.
	Once Repeat = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Resumable marks streams that may go on at another backend server.
	Resumable
)

// Share is one service of a route with its part of the requests.
type Share struct {
	Service units.TargetID
	Weight  int
}

// Route tells where the requests of one host and path go and what they are promised.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream is set if answers are series of events.
	Stream bool
	Repeat Repeat
	// Timeout bounds the time that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// Pause is the longest time between two events of a stream that is on time.
	Pause time.Duration
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Attempts bounds the backend servers that one request is sent to.
	Attempts int
	// Open routes need no API key.
	Open bool
	// Shares are the services of the route; their weights are above 0.
	Shares []Share
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots       int
	CacheTokens units.Tokens
	// Stride is the number of tokens in one event of a stream.
	Stride int
}

// Scaling bounds the backend servers that may be ordered for a service.
type Scaling struct {
	// Min and Max bound the servers of one zone, spot servers included.
	Min, Max int
	// Boot is the time until a new server serves.
	Boot time.Duration
	// SpotPrice is the price of a spot server relative to one on demand.
	SpotPrice float64
	// ZonePrices are relative prices by zone.
	ZonePrices map[units.ZoneID]float64
}

// Service is a group of equal backend servers.
type Service struct {
	ID         units.TargetID
	HealthPath string
	// Connections bounds the connections to one server, over all nodes.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil for services whose servers are not ordered by us.
	Scaling *Scaling
}

// Customer is the owner of API keys.
type Customer struct {
	ID   units.CustomerID
	Keys []string
	// Rank takes precedence over a route's rank if HasRank is set.
	Rank    int
	HasRank bool
	// Rate and Burst limit what all nodes admit together; 0 means no limit.
	Rate, Burst float64
	// ByTokens is set if the limits count tokens, and PlainTokens is then the size of
	// a request that states none.
	ByTokens    bool
	PlainTokens float64
}

// Limits bound what callers may send.
type Limits struct {
	Header, Body units.Bytes
	// HeaderTime bounds the time to read a header, Idle that between requests.
	HeaderTime, Idle time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version   units.Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits

	byHost   map[string][]*Route
	byKey    map[string]*Customer
	services map[units.TargetID]*Service
}

// Index checks a configuration and prepares it for look-ups.
func (co *Config) Index() error {
	const op = "routes.Index"
	if co.Version == 0 {
		return fault.New(op, KindInvalid, "the version is missing")
	}
	co.byHost = map[string][]*Route{}
	co.byKey = map[string]*Customer{}
	co.services = make(map[units.TargetID]*Service, len(co.Services))
	for idx := range co.Services {
		co.services[co.Services[idx].ID] = &co.Services[idx]
	}
	for idx := range co.Routes {
		ro := &co.Routes[idx]
		if len(ro.Shares) == 0 {
			return fault.New(op, KindInvalid, "route %q names no service", ro.Name)
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
	return nil
}

// Find returns the route with the longest prefix of path at host, or nil.
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

// Service returns a service by its id, or nil.
func (co *Config) Service(id units.TargetID) *Service { return co.services[id] }

// Pick returns the service of a request whose hash is given, by weight.
func (ro *Route) Pick(hash uint64) units.TargetID {
	if len(ro.Shares) == 1 {
		return ro.Shares[0].Service
	}
	total := 0
	for _, sh := range ro.Shares {
		total += sh.Weight
	}
	at := int(hash % uint64(max(total, 1)))
	for _, sh := range ro.Shares {
		if at < sh.Weight {
			return sh.Service
		}
		at -= sh.Weight
	}
	return ro.Shares[0].Service
}

// Rank returns the urgency of a request of cu, which may be nil, on ro.
func Rank(ro *Route, cu *Customer) int {
	if cu != nil && cu.HasRank {
		return cu.Rank
	}
	return ro.Rank
}
