package pulse

import (
	"encoding/json"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/fault"
)

// Traffic counts the bytes of the messages that a node sends and receives.
type Traffic struct{ Sent, Received atomic.Int64 }

// bounded is a message whose values have bounds.
type bounded interface{ bound() }

// limit limits the values of a message that has been decoded.
func limit(msg drpc.Message) {
	if bo, ok := msg.(bounded); ok {
		bo.bound()
	}
}

// jsonEncoding encodes messages in JSON.
type jsonEncoding struct{ traffic *Traffic }

// Marshal implements drpc.Encoding.
func (en jsonEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	raw, err := json.Marshal(msg)
	en.traffic.Sent.Add(int64(len(raw)))
	return raw, err
}

// Unmarshal implements drpc.Encoding.
func (en jsonEncoding) Unmarshal(raw []byte, msg drpc.Message) error {
	en.traffic.Received.Add(int64(len(raw)))
	if err := bound.JSON(raw, bound.Message, msg); err != nil {
		return err
	}
	limit(msg)
	return nil
}

// maxElements bounds the elements of a list or map in a message.
const maxElements = 1 << 17

// The modes of CBOR. Numbers that are none are refused: they would spoil every sum that they enter.
var (
	encodeMode = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decodeMode = must(cbor.DecOptions{
		MaxNestedLevels: bound.Message.Depth, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		NaN: cbor.NaNDecodeForbidden, Inf: cbor.InfDecodeForbidden,
	}.DecMode())
)

// must returns a mode. The options are constant, so that no error depends on input.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// cborEncoding encodes messages in CBOR.
type cborEncoding struct{ traffic *Traffic }

func newCBOR(tr *Traffic) cborEncoding { return cborEncoding{tr} }

// Marshal implements drpc.Encoding.
func (en cborEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	raw, err := encodeMode.Marshal(msg)
	en.traffic.Sent.Add(int64(len(raw)))
	return raw, err
}

// Unmarshal implements drpc.Encoding.
func (en cborEncoding) Unmarshal(raw []byte, msg drpc.Message) error {
	const op = "pulse.Unmarshal"
	en.traffic.Received.Add(int64(len(raw)))
	if len(raw) > bound.Message.Bytes {
		return fault.New(op, KindFailed, "message of %d bytes, want %d at most", len(raw), bound.Message.Bytes)
	}
	if err := decodeMode.Unmarshal(raw, msg); err != nil {
		return fault.Wrap(op, KindFailed, err)
	}
	limit(msg)
	return nil
}
