// Package wire holds the messages and the drpc service between nodes. The rest of it
// comes from peer.proto by "make generate".
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
