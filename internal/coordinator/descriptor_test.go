package coordinator

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// describeProtocol lists the services, methods, messages and enums of the fleet's protocol, with all names, numbers and types.
func describeProtocol(t *testing.T) string {
	t.Helper()
	out := &strings.Builder{}
	files := 0
	protoregistry.GlobalFiles.RangeFilesByPackage("wayloft.fleet.v1", func(file protoreflect.FileDescriptor) bool {
		files++
		fmt.Fprintf(out, "syntax %s package %s\n", file.Syntax(), file.Package())
		for i := range file.Services().Len() {
			describeService(out, file.Services().Get(i))
		}
		for i := range file.Enums().Len() {
			describeEnum(out, file.Enums().Get(i))
		}
		for i := range file.Messages().Len() {
			describeMessage(out, file.Messages().Get(i))
		}
		return true
	})
	if files != 1 {
		t.Fatalf("%d files describe the protocol, want 1", files)
	}
	return out.String()
}

func describeService(out *strings.Builder, service protoreflect.ServiceDescriptor) {
	fmt.Fprintf(out, "service %s\n", service.FullName())
	for i := range service.Methods().Len() {
		m := service.Methods().Get(i)
		fmt.Fprintf(out, "  method %s (stream %t %s) returns (stream %t %s)\n", m.Name(), m.IsStreamingClient(), m.Input().FullName(),
			m.IsStreamingServer(), m.Output().FullName())
	}
}

func describeMessage(out *strings.Builder, message protoreflect.MessageDescriptor) {
	fmt.Fprintf(out, "message %s\n", message.FullName())
	for i := range message.Fields().Len() {
		f := message.Fields().Get(i)
		kind := f.Kind().String()
		switch {
		case f.Message() != nil:
			kind = string(f.Message().FullName())
		case f.Enum() != nil:
			kind = string(f.Enum().FullName())
		}
		fmt.Fprintf(out, "  %d %s %s %s packed %t json %s\n", f.Number(), f.Name(), f.Cardinality(), kind, f.IsPacked(), f.JSONName())
	}
	for i := range message.Enums().Len() {
		describeEnum(out, message.Enums().Get(i))
	}
	for i := range message.Messages().Len() {
		describeMessage(out, message.Messages().Get(i))
	}
}

func describeEnum(out *strings.Builder, enum protoreflect.EnumDescriptor) {
	fmt.Fprintf(out, "enum %s\n", enum.FullName())
	for i := range enum.Values().Len() {
		fmt.Fprintf(out, "  %d %s\n", enum.Values().Get(i).Number(), enum.Values().Get(i).Name())
	}
}

// The protocol between the fleet's processes keeps every name, number and type that it had in commit dd13dd4, even if the generated code is
// renamed. Additions to the protocol are added to the golden file; existing lines must neither change nor disappear.
func TestProtocol_MatchesGolden(t *testing.T) {
	compareGolden(t, filepath.Join(recordedMessagesDir, "protocol.golden"), describeProtocol(t))
}
