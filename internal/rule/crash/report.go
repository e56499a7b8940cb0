package crash

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
)

// Summary tells a peer what a node knows of crashes, so that the peer sends only what it lacks.
type Summary struct {
	// Servers holds, for each server with news, its number and the digest of what is known of it.
	Servers []byte `json:"servers,omitempty"`
	// Completed holds a digest for each share of the completions.
	Completed []byte `json:"completed,omitempty"`
	// Verdicts stands for the keys that the node blocks, 0 for none.
	Verdicts uint64 `json:"verdicts,omitempty"`
}

// Report is what a node tells a peer of crashes.
type Report struct {
	Servers []Server `json:"servers,omitempty"`
	// Completed holds completions, each of completionBytes.
	Completed []byte `json:"completed,omitempty"`
}

// Server is what is known of one incarnation of a server.
type Server struct {
	permit.Server
	// HeardAge is the time since the server is known to have served, 0 if it hasn't survived a loss.
	HeardAge time.Duration `json:"heard_age,omitempty"`
	// Lost holds losses: the request, its content, the age in ms, the number of parts, and the parts.
	Lost []byte `json:"lost,omitempty"`
}

const (
	// newsTime is the age up to which crashes and completions are passed on. They reach all nodes in
	// four or five rounds of exchanges.
	newsTime = 3 * time.Second
	// digestBytes is the size of a digest and of a server's number. Completions are summarised in
	// completionShares shares.
	digestBytes, completionShares = 4, 16
	// lossBytes is the size of a loss without its parts, partBytes that of a part.
	lossBytes, partBytes = 4 + 8 + 4 + 1, 4
	// completionBytes is the size of a completion: its key, id and age in ms.
	completionBytes = 8 + 8 + 4
	// maxReportBytes bounds the losses and the completions of a report, and reportRate and
	// reportBurst those of all reports, in bytes a second and at once.
	maxReportBytes, reportRate, reportBurst = 4 << 10, 12 << 10, 16 << 10
)

func (bo *Book) isNews(now, at time.Time) bool { return now.Sub(at) <= newsTime }

// Summary returns the summary of what this node knows.
func (bo *Book) Summary(now time.Time) Summary {
	bo.Judge(now)
	su := Summary{Verdicts: bo.Digest()}
	for _, re := range bo.crashes {
		if bo.isNews(now, re.latest()) {
			su.Servers = binary.BigEndian.AppendUint32(su.Servers, number(re.server))
			su.Servers = binary.BigEndian.AppendUint32(su.Servers, re.digest())
		}
	}
	if digests := bo.completionDigests(now); digests != [completionShares]uint32{} {
		for _, di := range digests {
			su.Completed = binary.BigEndian.AppendUint32(su.Completed, di)
		}
	}
	return su
}

// number returns a short number for an incarnation of a server.
func number(sv permit.Server) uint32 {
	return uint32(xxhash.Sum64String(string(sv.ID)) ^ uint64(sv.StartUnixMS)*0x9e3779b97f4a7c15>>32)
}

// digest stands for the losses of a server and for whether it survived one.
func (re *record) digest() uint32 {
	out := uint64(0)
	for id := range re.losses {
		out ^= uint64(id) * 0x9e3779b97f4a7c15
	}
	if !re.heardNews.IsZero() {
		out++
	}
	return uint32(out>>32 ^ out)
}

func (bo *Book) completionDigests(now time.Time) (out [completionShares]uint32) {
	for _, list := range bo.completed {
		for _, co := range list {
			if bo.isNews(now, co.at) {
				hash := co.id * 0x9e3779b97f4a7c15
				out[co.share()] ^= uint32(hash >> 32)
			}
		}
	}
	return out
}

func (co *completion) share() uint64 { return co.id % completionShares }

// Report returns what a peer lacks by its summary: news, and what supports the verdicts if it blocks
// other keys.
func (bo *Book) Report(now time.Time, su Summary) Report {
	bo.Judge(now)
	var re Report
	known := map[uint32]uint32{}
	for raw := su.Servers; len(raw) >= 2*digestBytes; raw = raw[2*digestBytes:] {
		known[binary.BigEndian.Uint32(raw)] = binary.BigEndian.Uint32(raw[digestBytes:])
	}
	bytes := min(maxReportBytes, bo.allowance(now))
	for _, rc := range bo.crashes {
		have, ok := known[number(rc.server)]
		if !bo.isNews(now, rc.latest()) || (ok && have == rc.digest()) || bytes <= 0 {
			continue
		}
		sv := Server{Server: rc.server}
		if !rc.heardNews.IsZero() {
			sv.HeardAge = now.Sub(rc.heardAt)
		}
		for _, lo := range rc.losses {
			sv.Lost = appendLoss(sv.Lost, now, &lo)
		}
		bytes -= len(sv.Lost) + len(sv.ID)
		re.Servers = append(re.Servers, sv)
	}
	re.Completed = bo.missing(now, su.Completed, bytes)
	bo.spent += len(re.Completed) + min(maxReportBytes, bo.allowance(now)) - bytes
	if len(bo.verdicts) > 0 && su.Verdicts != bo.Digest() {
		bo.addEvidence(now, &re)
	}
	return re
}

// allowance returns the number of bytes that reports may have now.
func (bo *Book) allowance(now time.Time) int {
	gained := int(now.Sub(bo.refilledAt).Seconds() * reportRate)
	if gained > 0 {
		bo.spent, bo.refilledAt = max(0, bo.spent-gained), now
	}
	return reportBurst - bo.spent
}

// missing returns the completions that a peer lacks by its digests, up to a number of bytes.
func (bo *Book) missing(now time.Time, digests []byte, limit int) []byte {
	var lacks [completionShares]bool
	for num, di := range bo.completionDigests(now) {
		have := uint32(0)
		if at := num * digestBytes; len(digests) >= at+digestBytes {
			have = binary.BigEndian.Uint32(digests[at:])
		}
		lacks[num] = di != have
	}
	var out []byte
	for id, list := range bo.completed {
		for _, co := range list {
			if bo.isNews(now, co.at) && lacks[co.share()] && len(out) < limit {
				out = appendCompletion(out, now, id, &co)
			}
		}
	}
	return out
}

// addEvidence adds what supports the verdicts. Of the requests that were lost, it has the blocked
// key alone.
func (bo *Book) addEvidence(now time.Time, re *Report) {
	for id, ve := range bo.verdicts {
		if bo.isNews(now, ve.since) { // Peers come to it by themselves.
			continue
		}
		list := bo.under(id, nil, now)
		for _, ev := range list[max(0, len(list)-maxSupporting):] {
			sv := Server{Server: ev.record.server}
			for _, lo := range ev.record.losses {
				if lo.place(id) < 0 {
					continue
				}
				only := Loss{Request: lo.Request, At: lo.At}
				if id.IsRequest() {
					only.Content = lo.Content
				} else {
					only.Parts = []place.BlockID{place.BlockID(id)}
				}
				sv.Lost = appendLoss(sv.Lost, now, &only)
			}
			re.Servers = append(re.Servers, sv)
		}
		for _, co := range bo.completed[id] {
			re.Completed = appendCompletion(re.Completed, now, id, &co)
		}
	}
}

// Digest stands for the keys that are blocked, 0 if there are none.
func (bo *Book) Digest() uint64 {
	var out uint64
	for id := range bo.verdicts {
		var buf [8]byte
		binary.BigEndian.PutUint64(buf[:], uint64(id))
		out ^= xxhash.Sum64(buf[:])
	}
	return out
}

func appendAge(to []byte, age time.Duration) []byte {
	return binary.BigEndian.AppendUint32(to, uint32(max(0, age.Milliseconds())))
}

func appendLoss(to []byte, now time.Time, lo *Loss) []byte {
	to = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(to, lo.Request), lo.Content)
	to = append(appendAge(to, now.Sub(lo.At)), byte(len(lo.Parts)))
	for _, id := range lo.Parts {
		to = binary.BigEndian.AppendUint32(to, uint32(id))
	}
	return to
}

func appendCompletion(to []byte, now time.Time, ke Key, co *completion) []byte {
	to = binary.BigEndian.AppendUint64(to, uint64(ke))
	return appendAge(binary.BigEndian.AppendUint64(to, co.id), now.Sub(co.at))
}

// Merge records what a peer reports. Incomplete entries are left out.
func (bo *Book) Merge(now time.Time, re Report) {
	age := func(raw []byte) time.Time {
		return now.Add(-time.Duration(binary.BigEndian.Uint32(raw)) * time.Millisecond)
	}
	for _, sv := range re.Servers {
		if sv.HeardAge > 0 {
			bo.record(sv.Server)
			bo.Heard(now.Add(-sv.HeardAge), sv.Server)
		}
		for raw := sv.Lost; len(raw) >= lossBytes; {
			size := lossBytes + partBytes*int(raw[lossBytes-1])
			if raw[lossBytes-1] > maxParts || len(raw) < size {
				break
			}
			lo := Loss{Request: binary.BigEndian.Uint32(raw), Content: binary.BigEndian.Uint64(raw[4:]), At: age(raw[12:])}
			for at := lossBytes; at < size; at += partBytes {
				lo.Parts = append(lo.Parts, place.BlockID(binary.BigEndian.Uint32(raw[at:])))
			}
			bo.add(now, sv.Server, lo)
			raw = raw[size:]
		}
	}
	for raw := re.Completed; len(raw) >= completionBytes; raw = raw[completionBytes:] {
		if ke := Key(binary.BigEndian.Uint64(raw)); bo.byKey[ke] != nil {
			bo.complete(now, ke, completion{id: binary.BigEndian.Uint64(raw[8:]), at: age(raw[16:])})
		}
	}
}
