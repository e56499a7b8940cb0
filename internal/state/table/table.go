// Package table implements the operators' table of weights and limits, its validation, and
// the fold that computes the version in force from the log stream.
package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"sort"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells why a table was rejected.
type Kind string

// The kinds of error of this package.
const (
	// KindSyntax marks input that is not JSON of the expected shape.
	KindSyntax Kind = "syntax"
	// KindInvalid marks a table with values out of range.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Bounds of the fields of a table.
const (
	MaxCustomers         = 1000
	MaxRows              = 20000
	MaxWeight            = 1000
	MinSeats             = 1
	MaxSeats             = 512
	MaxRequestsPerSecond = 1e6
	MaxTokensPerSecond   = 1e8
	MaxInFlight          = 1_000_000
	MaxAttempts          = 10
	MinLatency           = units.Duration(time.Millisecond)
	MaxLatency           = units.Duration(10 * time.Minute)
	MaxDeadline          = units.Duration(time.Hour)
)

// Customer is a customer with the hashes of its API keys.
type Customer struct {
	ID units.CustomerID `json:"id"`
	// KeyHashes are SHA-256 sums of API keys, in lower-case hex.
	KeyHashes []string `json:"key_hashes"`
}

// TargetType tells whether a row routes to a model or to a service.
type TargetType string

// The target types.
const (
	TargetModel   TargetType = "model"
	TargetService TargetType = "service"
)

// RowKey identifies a row; no two rows of a table have the same key.
type RowKey struct {
	Customer units.CustomerID
	Target   units.TargetID
	Kind     units.RequestKind
}

// String returns the key as customer/target/kind.
func (rk RowKey) String() string {
	return string(rk.Customer) + "/" + string(rk.Target) + "/" + string(rk.Kind)
}

// Row holds the weight, limits and latency targets for one customer, target and kind of
// request.
type Row struct {
	Customer units.CustomerID `json:"customer"`
	// TargetType is "model" or "service".
	TargetType TargetType        `json:"target_type"`
	Target     units.TargetID    `json:"target"`
	Kind       units.RequestKind `json:"kind"`
	// Weight is the row's share under overload, from 1 to MaxWeight.
	Weight int `json:"weight"`
	// RequestsPerSecond limits accepted requests over all nodes.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond limits prompt and generated tokens over all nodes; 0 on a service.
	TokensPerSecond units.TokensPerSecond `json:"tokens_per_second,omitempty"`
	// InFlight limits requests in progress over all nodes.
	InFlight int `json:"in_flight"`
	// FirstToken is the latency target for the first token, or for the first byte of a
	// service.
	FirstToken units.Duration `json:"first_token"`
	// BetweenTokens is the latency target between two tokens; 0 on a service.
	BetweenTokens units.Duration `json:"between_tokens,omitempty"`
	// Deadline bounds the duration of the whole request.
	Deadline units.Duration `json:"deadline"`
	// Idempotent allows a request of this row to be sent more than once.
	Idempotent bool `json:"idempotent"`
	// Attempts is the maximum number of dispatches of one request.
	Attempts int `json:"attempts"`
}

// Key returns the key by which Index finds the row.
func (ro *Row) Key() RowKey {
	return RowKey{Customer: ro.Customer, Target: ro.Target, Kind: ro.Kind}
}

// Table is one version of the operators' table. It is immutable once decoded.
type Table struct {
	// Seats is the maximum number of entry VMs that share the limits.
	Seats     int        `json:"seats"`
	Customers []Customer `json:"customers"`
	Rows      []Row      `json:"rows"`
}

// Decode parses and validates a table. It returns an Error of KindSyntax for malformed JSON,
// unknown fields and trailing data, or of KindInvalid with all problems that Check finds.
func Decode(raw []byte) (*Table, error) {
	const op = "table.Decode"
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	tab := &Table{}
	if err := dec.Decode(tab); err != nil {
		return nil, fault.Wrap(op, KindSyntax, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fault.New(op, KindSyntax, "data after the end of the table")
	}
	if probs := tab.Check(); len(probs) > 0 {
		return nil, fault.New(op, KindInvalid, "%s", joinProblems(probs))
	}
	return tab, nil
}

// Encode returns the canonical JSON of the table, which is the input of Hash.
func (tab *Table) Encode() []byte {
	raw, err := json.Marshal(tab)
	if err != nil {
		panic(err) // Only NaN and infinity can't be encoded, and Check rejects both.
	}
	return raw
}

// Hash returns the SHA-256 sum of the canonical JSON in hex.
func (tab *Table) Hash() string {
	sum := sha256.Sum256(tab.Encode())
	return hex.EncodeToString(sum[:])
}

// HashKey returns the SHA-256 sum of an API key in lower-case hex, as in KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Problem is one invalid value: its path in the table, the value and the allowed values.
type Problem struct {
	Path string
	Have string
	Want string
}

// String returns the problem on one line, as "path: have value, want values".
func (pr Problem) String() string {
	return fmt.Sprintf("%s: have %s, want %s", pr.Path, pr.Have, pr.Want)
}

func joinProblems(probs []Problem) string {
	var buf bytes.Buffer
	for idx, pr := range probs {
		if idx > 0 {
			buf.WriteString("; ")
		}
		buf.WriteString(pr.String())
	}
	return buf.String()
}

var (
	nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	hashRE = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker collects problems, so that an operator gets all of them at once.
type checker struct{ probs []Problem }

func (ch *checker) add(path, have, want string) {
	ch.probs = append(ch.probs, Problem{Path: path, Have: have, Want: want})
}

func (ch *checker) name(path, have string) {
	if !nameRE.MatchString(have) {
		ch.add(path, fmt.Sprintf("%q", have), "1 to 128 letters, digits or . _ : -")
	}
}

func (ch *checker) number(path string, have, low, high float64) {
	if !(have >= low && have <= high) { // Negated, so that NaN is rejected.
		ch.add(path, fmt.Sprint(have), fmt.Sprintf("%v to %v", low, high))
	}
}

func (ch *checker) duration(path string, have, low, high units.Duration) {
	if have < low || have > high {
		ch.add(path, have.String(), low.String()+" to "+high.String())
	}
}

// Check returns all problems of the table, in the order of its fields; none if it is valid.
func (tab *Table) Check() []Problem {
	ch := &checker{}
	ch.number("seats", float64(tab.Seats), MinSeats, MaxSeats)
	if len(tab.Customers) == 0 || len(tab.Customers) > MaxCustomers {
		ch.add("customers", fmt.Sprint(len(tab.Customers)), fmt.Sprintf("1 to %d entries", MaxCustomers))
	}
	if len(tab.Rows) > MaxRows {
		ch.add("rows", fmt.Sprint(len(tab.Rows)), fmt.Sprintf("0 to %d entries", MaxRows))
	}
	known := tab.checkCustomers(ch)
	seen := map[RowKey]int{}
	types := map[units.TargetID]TargetType{}
	for idx := range tab.Rows {
		ro := &tab.Rows[idx]
		path := fmt.Sprintf("rows[%d]", idx)
		ro.check(ch, path)
		if !known[ro.Customer] {
			ch.add(path+".customer", fmt.Sprintf("%q", ro.Customer), "an id listed under customers")
		}
		if first, dup := seen[ro.Key()]; dup {
			ch.add(path, ro.Key().String(), fmt.Sprintf("a key other than that of rows[%d]", first))
		}
		seen[ro.Key()] = idx
		if tt, ok := types[ro.Target]; ok && tt != ro.TargetType {
			ch.add(path+".target_type", string(ro.TargetType), "the type that other rows give this target: "+string(tt))
		}
		types[ro.Target] = ro.TargetType
	}
	return ch.probs
}

func (tab *Table) checkCustomers(ch *checker) map[units.CustomerID]bool {
	known := map[units.CustomerID]bool{}
	owner := map[string]string{}
	for idx, cu := range tab.Customers {
		path := fmt.Sprintf("customers[%d]", idx)
		ch.name(path+".id", string(cu.ID))
		if known[cu.ID] {
			ch.add(path+".id", fmt.Sprintf("%q", cu.ID), "an id that no other entry has")
		}
		known[cu.ID] = true
		if len(cu.KeyHashes) == 0 {
			ch.add(path+".key_hashes", "none", "at least 1 entry")
		}
		for num, sum := range cu.KeyHashes {
			at := fmt.Sprintf("%s.key_hashes[%d]", path, num)
			if !hashRE.MatchString(sum) {
				ch.add(at, "a value of another shape", "a SHA-256 sum in 64 lower-case hex digits")
			}
			if other, dup := owner[sum]; dup {
				ch.add(at, "the same sum as "+other, "a sum that occurs only once")
			}
			owner[sum] = at
		}
	}
	return known
}

func (ro *Row) check(ch *checker, path string) {
	ch.name(path+".target", string(ro.Target))
	ch.name(path+".kind", string(ro.Kind))
	ch.number(path+".weight", float64(ro.Weight), 1, MaxWeight)
	ch.number(path+".requests_per_second", ro.RequestsPerSecond, 0.01, MaxRequestsPerSecond)
	ch.number(path+".in_flight", float64(ro.InFlight), 1, MaxInFlight)
	ch.number(path+".attempts", float64(ro.Attempts), 1, MaxAttempts)
	ch.duration(path+".first_token", ro.FirstToken, MinLatency, MaxLatency)
	ch.duration(path+".deadline", ro.Deadline, ro.FirstToken, MaxDeadline)
	switch ro.TargetType {
	case TargetModel:
		ch.number(path+".tokens_per_second", float64(ro.TokensPerSecond), 1, MaxTokensPerSecond)
		ch.duration(path+".between_tokens", ro.BetweenTokens, MinLatency, MaxLatency)
		if !ro.Idempotent {
			// Idempotency keys are claimed for services only, so a model row couldn't guarantee
			// that a request runs at most once.
			ch.add(path+".idempotent", "false", "true on a model, whose requests are sent again when a VM is reclaimed")
		}
	case TargetService:
		ch.number(path+".tokens_per_second", float64(ro.TokensPerSecond), 0, 0)
		ch.duration(path+".between_tokens", ro.BetweenTokens, 0, 0)
	default:
		ch.add(path+".target_type", fmt.Sprintf("%q", ro.TargetType), "model or service")
	}
}

// Diff returns the changes from old to tab, one line for each row or customer, sorted. Lines
// begin with + for added, - for removed and ~ for changed. An old of nil counts as empty.
func (tab *Table) Diff(old *Table) []string {
	if old == nil {
		old = &Table{}
	}
	var out []string
	if old.Seats != tab.Seats {
		out = append(out, fmt.Sprintf("~ seats: %d -> %d", old.Seats, tab.Seats))
	}
	out = append(out, diffLines("customer", customerLines(old), customerLines(tab))...)
	out = append(out, diffLines("row", rowLines(old), rowLines(tab))...)
	return out
}

func customerLines(tab *Table) map[string]string {
	out := map[string]string{}
	for _, cu := range tab.Customers {
		out[string(cu.ID)] = fmt.Sprintf("%d key(s)", len(cu.KeyHashes))
	}
	return out
}

func rowLines(tab *Table) map[string]string {
	out := map[string]string{}
	for idx := range tab.Rows {
		ro := &tab.Rows[idx]
		out[ro.Key().String()] = fmt.Sprintf("weight=%d rps=%v tps=%v in_flight=%d first_token=%s between_tokens=%s deadline=%s idempotent=%t attempts=%d",
			ro.Weight, ro.RequestsPerSecond, ro.TokensPerSecond, ro.InFlight, ro.FirstToken, ro.BetweenTokens, ro.Deadline, ro.Idempotent, ro.Attempts)
	}
	return out
}

func diffLines(what string, old, cur map[string]string) []string {
	var out []string
	for key, val := range cur {
		was, ok := old[key]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ %s %s: %s", what, key, val))
		case was != val:
			out = append(out, fmt.Sprintf("~ %s %s: %s -> %s", what, key, was, val))
		}
	}
	for key, val := range old {
		if _, ok := cur[key]; !ok {
			out = append(out, fmt.Sprintf("- %s %s: %s", what, key, val))
		}
	}
	sort.Strings(out)
	return out
}
