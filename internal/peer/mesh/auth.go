package mesh

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"slices"
	"time"

	"lycheepick/internal/rule/fault"
)

// Each side of a new connection proves that it knows the shared secret by a keyed
// hash over both sides' random numbers. The labels keep one side's proof from
// serving as the other's.
const (
	nonceBytes    = 32
	clientLabel   = "lycheepick client"
	serverLabel   = "lycheepick server"
	greetDeadline = 2 * time.Second
)

func proof(secret []byte, label string, nonces []byte) []byte {
	ma := hmac.New(sha256.New, secret)
	ma.Write([]byte(label))
	ma.Write(nonces)
	return ma.Sum(nil)
}

// greet runs the handshake of the side that dialled.
func greet(cn net.Conn, secret []byte) error {
	const op = "mesh.greet"
	_ = cn.SetDeadline(time.Now().Add(greetDeadline))
	own, err := nonce(cn)
	if err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	// The server sends its number and its proof.
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(cn, reply); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	both := slices.Concat(own, reply[:nonceBytes])
	if !hmac.Equal(reply[nonceBytes:], proof(secret, serverLabel, both)) {
		return fault.New(op, KindForbidden, "the peer does not have this node's secret")
	}
	if _, err := cn.Write(proof(secret, clientLabel, both)); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	return cn.SetDeadline(time.Time{})
}

// welcome runs the handshake of the side that accepted.
func welcome(cn net.Conn, secret []byte) error {
	const op = "mesh.welcome"
	_ = cn.SetDeadline(time.Now().Add(greetDeadline))
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(cn, theirs); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	both := slices.Concat(theirs, own)
	if _, err := cn.Write(append(own, proof(secret, serverLabel, both)...)); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	have := make([]byte, sha256.Size)
	if _, err := io.ReadFull(cn, have); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	if !hmac.Equal(have, proof(secret, clientLabel, both)) {
		return fault.New(op, KindForbidden, "a caller from %s does not have the secret", cn.RemoteAddr())
	}
	return cn.SetDeadline(time.Time{})
}

func nonce(cn net.Conn) ([]byte, error) {
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return nil, err
	}
	_, err := cn.Write(own)
	return own, err
}
