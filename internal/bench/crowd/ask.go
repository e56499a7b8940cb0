package crowd

import (
	"time"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

func noticeServer(sv *server.Server) notice.Server {
	return notice.Server{ID: sv.ID, StartUnixMS: sv.StartUnixMS}
}

// askTimeout is the timeout of a request for permits.
const askTimeout = 150 * time.Millisecond

// ask asks the issuer of a server's permits for some and then calls done. A peer that is not
// the issuer in its own view names the one that is.
func (no *node) ask(sv notice.Server, done func()) {
	no.asking[sv] = true
	rq := no.permits.Request(no.ru.now, sv)
	no.askNode(no.members.Issuer(no.ru.now, sv), rq, true, func() {
		delete(no.asking, sv)
		done()
	})
}

func (no *node) askNode(id units.VMID, rq permit.Request, redirect bool, done func()) {
	if id == no.id {
		no.permits.Receive(no.ru.now, no.permits.Issue(no.ru.now, rq, no.members.Share(no.ru.now)))
		done()
		return
	}
	to := no.ru.byID[id]
	if no.isolated() || to.isolated() {
		no.ru.scheduleAfter(askTimeout, func() {
			no.members.CallFailed(no.ru.now, id)
			no.permits.Failed(no.ru.now, rq.Server)
			done()
		})
		return
	}
	no.ru.scheduleAfter(roundTrip, func() {
		issuer := to.members.Issuer(no.ru.now, rq.Server)
		switch {
		case issuer == to.id:
			no.permits.Receive(no.ru.now, to.permits.Issue(no.ru.now, rq, to.members.Share(no.ru.now)))
			done()
		case redirect && issuer != no.id:
			to.members.Suspect(issuer)
			no.askNode(issuer, rq, false, done)
		default:
			to.members.Suspect(issuer)
			no.permits.Failed(no.ru.now, rq.Server)
			done()
		}
	})
}
