package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// maxPartLossesBytes bounds the recorded losses; it is well above what poison.PartCounter
// saves.
const maxPartLossesBytes = 1 << 20

// partTable is the durable record of the parts of prompts with which targets were lost.
type partTable struct {
	current *wire.PartLosses
}

// PartLosses returns the recorded losses. The caller must not modify them.
func (m *Machine) PartLosses() *wire.PartLosses { return m.parts.current }

func (t *partTable) replace(losses *wire.PartLosses) (*wire.PartLossesReply, error) {
	if n := proto.Size(losses); n > maxPartLossesBytes {
		return nil, fmt.Errorf("part losses have %d bytes, want at most %d", n, maxPartLossesBytes)
	}
	t.current = losses
	return &wire.PartLossesReply{}, nil
}
