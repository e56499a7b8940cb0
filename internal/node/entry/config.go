package entry

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

const (
	// maxConfigBytes bounds a configuration that a peer sends, once it is unpacked.
	maxConfigBytes = 16 << 20
	// configBytesPerSecond bounds what a node sends in configurations to its peers, so that
	// reports still get through on a link of 10 Mbit/s. A peer that gets none asks another node.
	configBytesPerSecond = 512 << 10
	// configBurst is how much earlier than at that rate a node may send: a few configurations at
	// once, so that each of them arrives before its peer gives up.
	configBurst = 250 * time.Millisecond
)

// activeConfig is the configuration in force.
type activeConfig struct {
	*routes.Config
	raw []byte
	// pack returns raw compressed. It compresses on its first call, for most versions in the
	// few nodes that read the store.
	pack func() []byte
}

func newActiveConfig(co *routes.Config, raw []byte) *activeConfig {
	return &activeConfig{Config: co, raw: raw, pack: sync.OnceValue(func() []byte { return pack(raw) })}
}

// version returns the version of a configuration, 0 for none.
func (ac *activeConfig) version() units.Version {
	if ac == nil {
		return 0
	}
	return ac.Version
}

// configBudget bounds what a node sends in configurations. One that is larger than the burst is
// sent whole, and the next ones wait the longer.
type configBudget struct {
	mu sync.Mutex
	// spentTo is the time at which what has been sent would have been sent at the rate.
	spentTo time.Time
}

// take reports whether a message of size bytes may be sent now.
func (cb *configBudget) take(now time.Time, size int) bool {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	if earliest := now.Add(-configBurst); cb.spentTo.Before(earliest) {
		cb.spentTo = earliest
	}
	if cb.spentTo.After(now) {
		return false
	}
	cb.spentTo = cb.spentTo.Add(time.Duration(float64(size) / configBytesPerSecond * float64(time.Second)))
	return true
}

// pack compresses a configuration.
func pack(raw []byte) []byte {
	var out bytes.Buffer
	// Neither fails: the level is valid and the buffer grows.
	wr, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = wr.Write(raw)
	_ = wr.Close()
	return out.Bytes()
}

// unpack is the reverse of pack. It returns an Error of KindConfig if the result is longer than
// maxConfigBytes or packed is damaged.
func unpack(packed []byte) ([]byte, error) {
	const op = "entry.unpack"
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes+1))
	if err != nil {
		return nil, fault.Wrap(op, KindConfig, err)
	}
	if len(raw) > maxConfigBytes {
		return nil, fault.New(op, KindConfig, "configuration is longer than %d bytes", maxConfigBytes)
	}
	return raw, nil
}

// applyPeerConfig puts the configuration in a peer's reply in force, if there is one.
func (no *Node) applyPeerConfig(re *pulse.Reply) {
	raw := re.RawConfig
	if len(re.PackedConfig) > 0 {
		var err error
		if raw, err = unpack(re.PackedConfig); err != nil {
			no.logUnreadable("config_unreadable", "peer "+string(re.Node), err, zap.String("source", "peer "+string(re.Node)))
			return
		}
	}
	if len(raw) > 0 {
		no.exchanges.configsReceived.Add(1)
		no.applyConfig(raw, "peer "+string(re.Node))
	}
}

// addConfig adds a configuration to a reply in the encoding that the peer asks for. If this node
// has sent too much of it lately, the reply says so.
func (no *Node) addConfig(out *pulse.Reply, fo *activeConfig, want pulse.ConfigRequest) {
	if want == pulse.ConfigNone {
		return
	}
	body := fo.raw
	if want == pulse.ConfigDeflate {
		body = fo.pack()
	}
	if !no.configBudget.take(time.Now(), base64.StdEncoding.EncodedLen(len(body))) {
		no.exchanges.configsDeferred.Add(1)
		out.ConfigDeferred = true
		return
	}
	no.exchanges.configsSent.Add(1)
	if want == pulse.ConfigDeflate {
		out.PackedConfig = body
	} else {
		out.RawConfig = body
	}
}
