package serve

import (
	"context"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/edge/keys"
	"lycheepick/internal/edge/plain"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/intent"
	"lycheepick/internal/state/table"
)

func (sv *Server) service(ct *fiber.Ctx) error {
	ca, err := sv.readService(ct)
	if err != nil {
		return reject(ct, err)
	}
	ct.Set(HeaderRequest, string(ca.Request.ID))
	if ca.Request.Key != "" && !ca.Row.Idempotent {
		return sv.once(ct, ca)
	}
	an, fa := sv.runService(ca)
	if fa != nil {
		return fail(ct, fa)
	}
	return sendAnswer(ct, an)
}

func (sv *Server) runService(ca *flow.ServiceRequest) (*plain.Answer, *flow.Failure) {
	admission, fa := sv.flow.Admit(sv.ctx, ca.Row, 0, ca.Deadline)
	if fa != nil {
		return nil, fa
	}
	defer admission.Release(0)
	return sv.flow.Service(sv.ctx, ca)
}

// sendAnswer passes on the response of a service. A status by which callers conclude that the request has not run is no proof of that
// here: a service that has not run a request says so with engine.HeaderRefused.
func sendAnswer(ct *fiber.Ctx, an *plain.Answer) error {
	const op = "serve.sendAnswer"
	if answer.ImpliesNotRun(an.Status) {
		return fail(ct, &flow.Failure{Outcome: answer.Unknown, Err: fault.New(op, flow.KindBroken, "the service answered with status %d and may have run the request", an.Status)})
	}
	ct.Set(fiber.HeaderContentType, an.ContentType)
	return ct.Status(an.Status).Send(an.Body)
}

func (sv *Server) readService(ct *fiber.Ctx) (*flow.ServiceRequest, error) {
	const op = "serve.readService"
	if ct.Method() == fiber.MethodHead {
		return nil, fault.New(op, KindBadRequest, "HEAD is not passed on to services")
	}
	who, err := sv.identify(ct)
	if err != nil {
		return nil, err
	}
	ro, err := who.row(ct, units.TargetID(ct.Params("service")), table.TargetService)
	if err != nil {
		return nil, err
	}
	until, err := deadline(ct, ro)
	if err != nil {
		return nil, err
	}
	if err := sv.endsBefore(until); err != nil {
		return nil, err
	}
	key, err := idempotencyKey(ct)
	if err != nil {
		return nil, err
	}
	path := "/" + ct.Params("*")
	if query := ct.Context().QueryArgs().String(); query != "" {
		path += "?" + query
	}
	return &flow.ServiceRequest{
		Row: ro, Deadline: until,
		Request: plain.Request{
			ID: units.RequestID(uuid.NewString()), Method: ct.Method(), Path: path,
			ContentType: ct.Get(fiber.HeaderContentType), Key: key, Body: append([]byte(nil), ct.Body()...),
		},
	}, nil
}

// fingerprint returns a hash that detects the use of one key for different requests.
func fingerprint(ca *flow.ServiceRequest) string {
	di := xxhash.New()
	for _, part := range []string{ca.Row.Key().String(), ca.Request.Method, ca.Request.Path} {
		_, _ = di.WriteString(part)
		_, _ = di.Write([]byte{0})
	}
	_, _ = di.Write(ca.Request.Body)
	return hex.EncodeToString(di.Sum(nil))
}

// once serves a request that is not idempotent and has an idempotency key. The request is
// dispatched only if this node's intent has won the key; in all other cases, errors
// included, it is never dispatched.
func (sv *Server) once(ct *fiber.Ctx, ca *flow.ServiceRequest) error {
	const op = "serve.once"
	ke := intent.Key{Customer: ca.Row.Customer, Key: ca.Request.Key}
	id := intent.ID(uuid.NewString())
	mark := fingerprint(ca)
	ctx, cancel := context.WithDeadline(sv.ctx, ca.Deadline)
	defer cancel()
	verdict, an, err := sv.node.Claim(ctx, ke, id, mark)
	if err != nil {
		if !fault.Is(err, keys.KindUnavailable) {
			sv.node.Record(intent.Entry{Op: intent.OpAbandon, Key: ke, Intent: id})
		}
		return fail(ct, &flow.Failure{Outcome: answer.NotRun, RetryAfter: logRetryAfter, Err: fault.Wrap(op, flow.KindLogUnavailable, err)})
	}
	switch verdict {
	case intent.Won:
		return sv.runOnce(ct, ca, intent.Entry{Key: ke, Intent: id, Fingerprint: mark})
	case intent.Answered:
		return replay(ct, an)
	case intent.Conflict:
		return fail(ct, &flow.Failure{Outcome: answer.NotRun, Err: fault.New(op, flow.KindKeyConflict, "%s was used for a different request", HeaderKey)})
	case intent.InProgress, intent.Undecided:
	}
	return fail(ct, &flow.Failure{Outcome: answer.Unknown, RetryAfter: keyBusyRetryAfter, Err: fault.New(op, flow.KindKeyBusy, "another request holds this %s", HeaderKey)})
}

const (
	logRetryAfter     = 2 * time.Second
	keyBusyRetryAfter = time.Second
)

func (sv *Server) runOnce(ct *fiber.Ctx, ca *flow.ServiceRequest, en intent.Entry) error {
	an, fa := sv.runService(ca)
	switch {
	case fa == nil:
		en.Op = intent.OpOutcome
		en.Answer = storedAnswer(an)
	case fa.Outcome == answer.NotRun:
		en.Op = intent.OpAbandon
	default:
		en.Op = intent.OpOutcome
		en.Answer = &intent.Answer{Outcome: answer.Unknown.String()}
	}
	sv.node.Record(en)
	if fa != nil {
		return fail(ct, fa)
	}
	return sendAnswer(ct, an)
}

// storedAnswer returns the response as recorded in the log, without the body if that is
// larger than intent.MaxBody.
func storedAnswer(an *plain.Answer) *intent.Answer {
	out := &intent.Answer{Outcome: answer.Done.String(), Status: an.Status, ContentType: an.ContentType}
	if units.Bytes(len(an.Body)) <= intent.MaxBody {
		out.Body = an.Body
	}
	return out
}

// HeaderReplayed is set to "true" on responses replayed from the log.
const HeaderReplayed = "Lycheepick-Replayed"

func replay(ct *fiber.Ctx, an *intent.Answer) error {
	const op = "serve.replay"
	if an.Outcome != answer.Done.String() {
		return fail(ct, &flow.Failure{Outcome: answer.Unknown, Err: fault.New(op, flow.KindBroken, "the first request with this %s has an unknown outcome", HeaderKey)})
	}
	ct.Set(HeaderReplayed, strconv.FormatBool(true))
	return sendAnswer(ct, &plain.Answer{Status: an.Status, ContentType: an.ContentType, Body: an.Body})
}
