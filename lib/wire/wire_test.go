package wire

import (
	"context"
	"testing"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"gotest.tools/v3/assert"
)

// Guards against a change of definitions in wire.proto without regenerating the Go code.
func TestGeneratedCodeMatchesProto(t *testing.T) {
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}}
	files, err := c.Compile(context.Background(), "wire.proto")
	assert.NilError(t, err)
	want := protodesc.ToFileDescriptorProto(files[0])
	got := protodesc.ToFileDescriptorProto(File_wire_proto)
	assert.Assert(t, proto.Equal(want, got), "run lib/wire/gen.sh and commit the result")
}
