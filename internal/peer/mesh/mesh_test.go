package mesh_test

import (
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/peer/wire"
)

// echo implements only the Status call.
type echo struct {
	wire.DRPCPeerUnimplementedServer
}

// Status implements wire.DRPCPeerServer.
func (*echo) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return &wire.StatusReply{Node: "node-1"}, nil
}

func TestOnlyHoldersOfTheSecretAreServed(t *testing.T) {
	gm := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- mesh.Serve(ctx, ls, []byte("the right secret"), &echo{}) }()

	right := mesh.NewPool([]byte("the right secret"))
	re, err := right.Peer(ctx, ls.Addr().String()).Status(ctx, &wire.StatusRequest{})
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	gm.Expect(re.GetNode()).To(gomega.Equal("node-1"))

	wrong := mesh.NewPool([]byte("some other secret"))
	_, err = wrong.Peer(ctx, ls.Addr().String()).Status(ctx, &wire.StatusRequest{})
	gm.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("forbidden")))

	// A client that does not complete the handshake receives no more than the server's half.
	cn, err := net.Dial("tcp", ls.Addr().String())
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = cn.Close() }()
	_, err = cn.Write(make([]byte, 200))
	gm.Expect(err).NotTo(gomega.HaveOccurred())
	buf := make([]byte, 1024)
	total := 0
	for {
		num, err := cn.Read(buf)
		total += num
		if err != nil {
			break
		}
	}
	gm.Expect(total).To(gomega.Equal(64), "the server's nonce and proof only")
	right.Close()
	wrong.Close()
	cancel()
	gm.Expect(<-done).To(gomega.Succeed())
}

func FuzzGossipMessage(f *testing.F) {
	raw, _ := proto.Marshal(&wire.GossipMessage{From: "a", Members: []*wire.Member{{Id: "b", State: 2, DeadlineUnixMs: 5}}})
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var in wire.GossipMessage
		if proto.Unmarshal(raw, &in) != nil {
			return
		}
		msg, err := mesh.FromWire(&in)
		if err != nil {
			return
		}
		again, err := mesh.FromWire(mesh.ToWire(&msg))
		if err != nil || len(again.Members) != len(msg.Members) {
			t.Fatalf("a valid message changed in an encoding round trip: %v", err)
		}
		for idx := range msg.Members {
			if again.Members[idx] != msg.Members[idx] {
				t.Fatalf("have %+v, want %+v", again.Members[idx], msg.Members[idx])
			}
		}
	})
}

// BenchmarkCall measures a call over a pooled connection, with client and server in one
// process.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = mesh.Serve(ctx, ls, []byte("the right secret"), &echo{}) }()
	po := mesh.NewPool([]byte("the right secret"))
	defer po.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := po.Peer(ctx, ls.Addr().String()).Status(ctx, &wire.StatusRequest{}); err != nil {
			b.Fatal(err)
		}
	}
}
