// Package wire holds the messages between entry processes, generated from the
// schema in wire.proto.
//
// Field numbers are never reused, so that neighbouring versions of the program
// understand each other during a rolling replacement.
//
// Usage: messages are exchanged by package relay; after a change of the
// schema run `go generate ./wire`.
package wire

//go:generate sh -c "cd .. && go build -o .tools/protoc-gen-go -modfile=tools/go.mod google.golang.org/protobuf/cmd/protoc-gen-go && PATH=$PWD/../.tools:$PATH go tool -modfile=tools/go.mod buf generate"
