package origin

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells why an operation of this package failed.
type Kind string

// KindBatch marks a batch of origins that can't be read.
const KindBatch Kind = "batch"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// hashBytes is the size of a request's hash in a batch.
const hashBytes = 8

// batch holds origins in the store: for each service and version the hashes of the requests that
// brought the first events, hashBytes each.
type batch map[units.TargetID]map[units.SoftwareVersion][]byte

// EncodeBatch encodes records for the store.
func EncodeBatch(list []Record) ([]byte, error) {
	out := batch{}
	for _, re := range list {
		if out[re.Service] == nil {
			out[re.Service] = map[units.SoftwareVersion][]byte{}
		}
		out[re.Service][re.Version] = binary.LittleEndian.AppendUint64(out[re.Service][re.Version], hash(re.ID))
	}
	raw, err := json.Marshal(out)
	return raw, fault.Wrap("origin.EncodeBatch", KindBatch, err)
}

func hash(id units.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// Spread returns the group of a node, of so many groups.
func Spread(node units.VMID, groups uint64) uint64 { return xxhash.Sum64String(string(node)) % groups }

// Archive holds the origins that nodes have written to the store, for generationTime at least.
type Archive struct{ generations[uint64] }

// NewArchive returns an empty archive.
func NewArchive() *Archive { return &Archive{newGenerations[uint64]()} }

// AddBatch adds the records of a batch. It returns an Error of KindBatch, and adds nothing, if the
// batch can't be read.
func (ar *Archive) AddBatch(now time.Time, raw []byte) error {
	const op = "origin.AddBatch"
	var in batch
	if err := bound.JSON(raw, bound.Origins, &in); err != nil {
		return fault.Wrap(op, KindBatch, err)
	}
	for service, versions := range in {
		for version, hashes := range versions {
			if len(hashes)%hashBytes != 0 {
				return fault.New(op, KindBatch, "service %q, version %q: %d bytes of hashes of %d bytes each", service, version, len(hashes), hashBytes)
			}
		}
	}
	for service, versions := range in {
		for version, hashes := range versions {
			for ; len(hashes) > 0; hashes = hashes[hashBytes:] {
				ar.add(now, binary.LittleEndian.Uint64(hashes), Origin{Service: service, Version: version})
			}
		}
	}
	return nil
}

// Find returns the origin of the stream whose first event a request brought.
func (ar *Archive) Find(now time.Time, id units.RequestID) (Origin, bool) {
	return ar.find(now, hash(id))
}
