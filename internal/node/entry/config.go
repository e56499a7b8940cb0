package entry

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

const (
	// maxConfigBytes bounds a configuration that a peer sends, once it is unpacked.
	maxConfigBytes = 16 << 20
	// configBytesPerSecond bounds what a node sends in configurations to its peers, so that
	// reports still get through on a link of 10 Mbit/s. A peer that gets none asks again, here
	// or at a peer that has got it meanwhile.
	configBytesPerSecond = 512 << 10
	// maxConfigFetches bounds the exchanges in progress that ask for the configuration. The
	// second one is for a peer that doesn't answer.
	maxConfigFetches = 2
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

func newConfigLimiter() *rate.Limiter {
	return rate.NewLimiter(configBytesPerSecond, configBytesPerSecond)
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

// claimConfigFetch returns whether the exchange with a peer asks for its configuration: if the
// peer is known to have a newer one, or is the reader on which this node relies. endConfigFetch
// has to follow if it does.
func (no *Node) claimConfigFetch(id units.VMID) pulse.ConfigRequest {
	no.mu.Lock()
	defer no.mu.Unlock()
	pe := no.peers[id]
	mayBeNewer := pe == nil || id == no.watch.Reader() || pe.config > no.config.Load().version()
	if !mayBeNewer || no.configFetches >= maxConfigFetches {
		return pulse.ConfigNone
	}
	no.configFetches++
	return pulse.ConfigDeflate
}

// canFetchConfig reports whether a version is newer than the one in force, and another exchange
// may ask for it.
func (no *Node) canFetchConfig(version units.Version) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return version > no.config.Load().version() && no.configFetches < maxConfigFetches
}

func (no *Node) endConfigFetch() {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.configFetches--
}

// applyPeerConfig puts the configuration in a peer's reply in force, if there is one.
func (no *Node) applyPeerConfig(re *pulse.Reply) {
	raw := re.RawConfig
	if len(re.PackedConfig) > 0 {
		var err error
		if raw, err = unpack(re.PackedConfig); err != nil {
			no.log.Warn("config_unreadable", zap.String("source", "peer "+string(re.Node)), zap.Error(err))
			return
		}
	}
	if len(raw) > 0 {
		no.exchanges.configsReceived.Add(1)
		no.applyConfig(raw, "peer "+string(re.Node))
	}
}

// addConfig adds a configuration to a reply in the encoding that the peer asks for, unless this
// node has sent too much of it lately.
func (no *Node) addConfig(out *pulse.Reply, fo *activeConfig, want pulse.ConfigRequest) {
	if want == pulse.ConfigNone {
		return
	}
	body := fo.raw
	if want == pulse.ConfigDeflate {
		body = fo.pack()
	}
	if !no.configLimiter.AllowN(time.Now(), min(len(body), configBytesPerSecond)) {
		no.exchanges.configsDeferred.Add(1)
		return
	}
	no.exchanges.configsSent.Add(1)
	if want == pulse.ConfigDeflate {
		out.PackedConfig = body
	} else {
		out.RawConfig = body
	}
}
