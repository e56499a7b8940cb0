package serve

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/fault"
)

// Leave makes the server refuse requests that may outlast stopsAt and can't be resumed at another node. It closes
// connections after their next response, so that later requests go where the balancer sends them.
func (sv *Server) Leave(stopsAt time.Time) { sv.stopsAt.Store(&stopsAt) }

// CloseAtIdle makes the server refuse all requests as soon as none is in progress, when it closes the channel.
func (sv *Server) CloseAtIdle() <-chan struct{} { return sv.requests.CloseAtIdle() }

// Close makes the server refuse all requests. The channel is closed once none is in progress.
func (sv *Server) Close() <-chan struct{} { return sv.requests.Close() }

// enter is middleware that counts the requests in progress.
func (sv *Server) enter(ct *fiber.Ctx) error {
	if sv.stopsAt.Load() != nil {
		ct.Context().SetConnectionClose()
	}
	if !sv.requests.Enter() {
		return reject(ct, errLeaving("serve.enter"))
	}
	defer sv.requests.Leave()
	return ct.Next()
}

// endsBefore returns a KindNotReady error if the node may stop before a request's deadline.
func (sv *Server) endsBefore(deadline time.Time) error {
	if at := sv.stopsAt.Load(); at != nil && deadline.After(*at) {
		return errLeaving("serve.endsBefore")
	}
	return nil
}

func errLeaving(op string) error {
	return fault.WithRetryAfter(fault.New(op, KindNotReady, "this node is leaving"), flow.LeavingRetryAfter)
}
