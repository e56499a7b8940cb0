// Package wire holds the messages and the drpc service between nodes. All of it
// but this file is generated from peer.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
