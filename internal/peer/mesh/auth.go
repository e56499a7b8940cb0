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

// Mutual authentication of a new connection: each side proves knowledge of the shared
// secret by an HMAC-SHA-256 over both sides' nonces. The labels prevent one side's proof
// from being reflected as the other's.
const (
	nonceBytes       = 32
	clientLabel      = "lycheepick client"
	serverLabel      = "lycheepick server"
	handshakeTimeout = 2 * time.Second
)

func proof(secret []byte, label string, nonces []byte) []byte {
	ma := hmac.New(sha256.New, secret)
	ma.Write([]byte(label))
	ma.Write(nonces)
	return ma.Sum(nil)
}

// clientHandshake runs the client side of the handshake.
func clientHandshake(cn net.Conn, secret []byte) error {
	const op = "mesh.greet"
	_ = cn.SetDeadline(time.Now().Add(handshakeTimeout))
	own, err := sendNonce(cn)
	if err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	// The server answers with its nonce and its proof.
	reply := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(cn, reply); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	both := slices.Concat(own, reply[:nonceBytes])
	if !hmac.Equal(reply[nonceBytes:], proof(secret, serverLabel, both)) {
		return fault.New(op, KindForbidden, "the peer failed to prove knowledge of the shared secret")
	}
	if _, err := cn.Write(proof(secret, clientLabel, both)); err != nil {
		return fault.Wrap(op, KindUnreachable, err)
	}
	return cn.SetDeadline(time.Time{})
}

// serverHandshake runs the server side of the handshake.
func serverHandshake(cn net.Conn, secret []byte) error {
	const op = "mesh.welcome"
	_ = cn.SetDeadline(time.Now().Add(handshakeTimeout))
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
		return fault.New(op, KindForbidden, "client %s failed to prove knowledge of the shared secret", cn.RemoteAddr())
	}
	return cn.SetDeadline(time.Time{})
}

// sendNonce generates the client's nonce and sends it.
func sendNonce(cn net.Conn) ([]byte, error) {
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return nil, err
	}
	_, err := cn.Write(own)
	return own, err
}
