// Package wire defines the messages and the drpc service between nodes. Its other files
// are generated from peer.proto by "make generate".
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
