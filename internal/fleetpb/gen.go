// Package fleetpb is the form of what processes of a fleet say to each other: typed values and bytes, no socket of its own.
package fleetpb

//go:generate sh -c "protoc --plugin=$(go tool -n protoc-gen-go) --plugin=$(go tool -n protoc-gen-go-grpc) --go_out=../.. --go_opt=module=wayloft --go-grpc_out=../.. --go-grpc_opt=module=wayloft -I. fleet.proto"
