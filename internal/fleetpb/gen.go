// Package fleetpb holds the messages and gRPC services of the protocol between the processes of a fleet, generated from fleet.proto. Package
// rpc translates them to and from the types of the decision packages.
package fleetpb

//go:generate sh -c "protoc --plugin=$(go tool -n protoc-gen-go) --plugin=$(go tool -n protoc-gen-go-grpc) --go_out=../.. --go_opt=module=wayloft --go-grpc_out=../.. --go-grpc_opt=module=wayloft -I. fleet.proto"
