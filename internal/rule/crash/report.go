package crash

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/place"
)

// Summary tells a peer what a node knows of crashes, so that the peer sends only what it lacks.
type Summary struct {
	// Salt differs from one summary to the next, and with it the digests: two that are the same by
	// chance differ the next time.
	Salt uint32 `json:"salt,omitempty"`
	// Servers holds, for each server with news, its number and the digests of its losses, one for each
	// share of them.
	Servers []byte `json:"servers,omitempty"`
	// Suspects holds the keys that are close to being blocked, each with the digest of its completions.
	Suspects []byte `json:"suspects,omitempty"`
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
	notice.Server
	// HeardAge is the time since the server is known to have served, 0 if it hasn't survived a loss.
	HeardAge time.Duration `json:"heard_age,omitempty"`
	// Lost holds losses: the request, its content, the age in ms, the number of parts, and the parts.
	Lost []byte `json:"lost,omitempty"`
}

const (
	// newsTime is the age up to which crashes are passed on. They reach all nodes in four or five
	// rounds of exchanges.
	newsTime = 3 * time.Second
	// numberBytes and keyBytes are the sizes of a server's number and of a key. lossShares is the
	// number of shares of losses, with a digest of one byte each.
	numberBytes, keyBytes, lossShares = 4, 8, 8
	// lossBytes is the size of a loss without its parts, partBytes that of a part.
	lossBytes, partBytes = 4 + 8 + 4 + 1, 4
	// completionBytes is the size of a completion: its key, id and age in ms.
	completionBytes = keyBytes + 8 + 4
	// completedShare is the part of a report, one in so many, that completions have before losses.
	completedShare = 2
	// maxReportBytes bounds the losses and the completions of a report, and reportRate and
	// reportBurst those of all reports, in bytes a second and at once.
	maxReportBytes, reportRate, reportBurst = 4 << 10, 12 << 10, 16 << 10
)

func (bo *Book) isNews(now, at time.Time) bool { return now.Sub(at) <= newsTime }

// Summary returns the summary of what this node knows.
func (bo *Book) Summary(now time.Time) Summary {
	bo.Judge(now)
	bo.lastSalt++
	su := Summary{Salt: bo.lastSalt, Verdicts: bo.Digest()}
	for _, re := range bo.news(now) {
		digests := re.digests(su.Salt)
		su.Servers = binary.BigEndian.AppendUint32(su.Servers, number(re.server))
		su.Servers = append(su.Servers, digests[:]...)
	}
	if now.Sub(bo.judgedAt) > reportTime {
		return su
	}
	for _, id := range bo.atRisk {
		su.Suspects = append(binary.BigEndian.AppendUint64(su.Suspects, uint64(id)), bo.completionDigest(id, su.Salt))
	}
	return su
}

// news returns the crashes that are passed on, the oldest first.
func (bo *Book) news(now time.Time) []*record {
	var out []*record
	for _, re := range bo.crashes {
		if bo.isNews(now, re.latest()) {
			out = append(out, re)
		}
	}
	slices.SortFunc(out, (*record).compare)
	return out
}

// compare orders records by the times of their losses.
func (re *record) compare(other *record) int {
	return cmp.Or(re.latest().Compare(other.latest()), cmp.Compare(number(re.server), number(other.server)))
}

// number returns a short number for an incarnation of a server.
func number(sv notice.Server) uint32 {
	return uint32(xxhash.Sum64String(string(sv.ID)) ^ uint64(sv.StartUnixMS)*0x9e3779b97f4a7c15>>32)
}

// digest returns a byte that stands for an id.
func digest(salt uint32, id uint64) byte {
	var buf [12]byte
	binary.BigEndian.PutUint64(buf[:], id)
	binary.BigEndian.PutUint32(buf[8:], salt)
	return byte(xxhash.Sum64(buf[:]))
}

// digests stand for the losses of a server, and the first one also for whether it survived one.
func (re *record) digests(salt uint32) (out [lossShares]byte) {
	for id := range re.losses {
		out[id%lossShares] ^= digest(salt, uint64(id))
	}
	if !re.heardNews.IsZero() {
		out[0]++
	}
	return out
}

// completionDigest stands for the completions with a key.
func (bo *Book) completionDigest(ke Key, salt uint32) (out byte) {
	for _, co := range bo.completed[ke] {
		out ^= digest(salt, co.id)
	}
	return out
}

// Report returns what a peer lacks by its summary: news, completions with keys that it is about to
// block, and what supports the verdicts if it blocks other keys.
func (bo *Book) Report(now time.Time, su Summary) Report {
	bo.Judge(now)
	bytes := min(maxReportBytes, bo.allowance(now))
	re := Report{Completed: bo.missing(now, &su, bytes/completedShare)}
	spent := len(re.Completed)
	known := su.digests()
	for _, rc := range bo.news(now) {
		if spent >= bytes {
			break
		}
		if sv, lacks := rc.missing(now, su.Salt, known[number(rc.server)]); lacks {
			spent += len(sv.Lost) + len(sv.ID)
			re.Servers = append(re.Servers, sv)
		}
	}
	bo.spent += spent
	if len(bo.verdicts) > 0 && su.Verdicts != bo.Digest() {
		bo.addEvidence(now, &re)
	}
	return re
}

// digests returns the digests of a summary by the numbers of the servers.
func (su *Summary) digests() map[uint32][lossShares]byte {
	out := map[uint32][lossShares]byte{}
	for raw := su.Servers; len(raw) >= numberBytes+lossShares; raw = raw[numberBytes+lossShares:] {
		out[binary.BigEndian.Uint32(raw)] = [lossShares]byte(raw[numberBytes:])
	}
	return out
}

// missing returns what a peer lacks of a server by its digests, and whether it lacks anything.
func (re *record) missing(now time.Time, salt uint32, known [lossShares]byte) (Server, bool) {
	own := re.digests(salt)
	if own == known {
		return Server{}, false
	}
	sv := Server{Server: re.server}
	if !re.heardNews.IsZero() {
		sv.HeardAge = now.Sub(re.heardAt)
	}
	for _, lo := range re.inOrder() {
		if share := lo.Request % lossShares; own[share] != known[share] {
			sv.Lost = appendLoss(sv.Lost, now, &lo)
		}
	}
	return sv, true
}

// inOrder returns the losses in the order of their times.
func (re *record) inOrder() []Loss {
	return slices.SortedFunc(maps.Values(re.losses), func(one, two Loss) int {
		return cmp.Or(one.At.Compare(two.At), cmp.Compare(one.Request, two.Request))
	})
}

// allowance returns the number of bytes that reports may have now.
func (bo *Book) allowance(now time.Time) int {
	gained := int(now.Sub(bo.refilledAt).Seconds() * reportRate)
	if gained > 0 {
		bo.spent, bo.refilledAt = max(0, bo.spent-gained), now
	}
	return reportBurst - bo.spent
}

// missing returns the completions with a peer's suspects that it lacks, up to a number of bytes.
func (bo *Book) missing(now time.Time, su *Summary, limit int) []byte {
	var out []byte
	for raw := su.Suspects; len(raw) > keyBytes; raw = raw[keyBytes+1:] {
		id := Key(binary.BigEndian.Uint64(raw))
		if bo.completionDigest(id, su.Salt) == raw[keyBytes] {
			continue
		}
		for _, co := range bo.completed[id] {
			if len(out)+completionBytes <= limit {
				out = appendCompletion(out, now, id, &co)
			}
		}
	}
	return out
}

// addEvidence adds what supports the verdicts. Of the requests that were lost, it has the blocked
// key alone.
func (bo *Book) addEvidence(now time.Time, re *Report) {
	for _, id := range slices.Sorted(maps.Keys(bo.verdicts)) {
		if bo.isNews(now, bo.verdicts[id].since) { // Peers come to it by themselves.
			continue
		}
		list := bo.under(id, nil, now)
		for _, ev := range list[max(0, len(list)-maxSupporting):] {
			sv := Server{Server: ev.record.server}
			for _, lo := range ev.record.inOrder() {
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
	if at := bo.heardFromPeersAt; !at.IsZero() && now.Sub(at) > touchGap {
		bo.inTouchSince = now
	}
	bo.heardFromPeersAt = now
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
