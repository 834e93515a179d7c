// Command simhost runs instances of the policy for the simulator: it reads batches of events from standard
// input and replies to each with the actions of its instances. The instances share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"craneglade/internal/wire"
	"craneglade/policy"
)

func main() {
	debug.SetGCPercent(800) // the live heap is small; frequent collections would cost processor time
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

type host struct {
	nodes   map[int64]*policy.Balancer
	actions []policy.Action
	reply   []byte
	now     time.Duration
}

// run serves batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{nodes: map[int64]*policy.Balancer{}}
	r := bufio.NewReaderSize(in, 1<<20)
	var dec wire.Decoder
	var partial []byte
	var batch int64
	inBatch := false
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			partial = append(partial, line...)
			continue
		}
		if len(partial) > 0 {
			partial = append(partial, line...)
			line, partial = partial, partial[:0]
		}
		if err == io.EOF && len(line) == 0 {
			if inBatch {
				return fmt.Errorf("batch %d: input ended inside the batch", batch)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		m, err := dec.Decode(line)
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if (m.Kind == wire.BatchStart) == inBatch {
			return fmt.Errorf("batch %d: message out of place", batch)
		}
		switch m.Kind {
		case wire.BatchStart:
			inBatch, batch, h.now, h.reply = true, m.Batch, m.Now, h.reply[:0]
		case wire.BatchEnd:
			inBatch = false
			if _, err := out.Write(wire.AppendDone(h.reply, batch)); err != nil {
				return err
			}
		default:
			if err := h.dispatch(m); err != nil {
				return fmt.Errorf("batch %d: %w", batch, err)
			}
		}
	}
}

// dispatch passes a message to its instance and appends the instance's actions to the reply.
func (h *host) dispatch(m *wire.Message) error {
	switch m.Kind {
	case wire.Create:
		node, err := policy.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("create: %w", err)
		}
		h.nodes[m.Instance] = node
		return nil
	case wire.PowerOff:
		delete(h.nodes, m.Instance)
		return nil
	}
	node := h.nodes[m.Instance]
	if node == nil {
		return fmt.Errorf("instance %d was never created", m.Instance)
	}
	h.guard(m.Instance, func() {
		h.actions = node.Handle(h.now, &m.Event, h.actions[:0])
		for i := range h.actions {
			h.reply = wire.AppendAction(h.reply, m.Instance, &h.actions[i])
		}
	})
	return nil
}

// guard turns a panic of the policy into the instance's fault report.
func (h *host) guard(instance int64, decide func()) {
	defer func() {
		if p := recover(); p != nil {
			h.reply = wire.AppendFault(h.reply, instance, fmt.Sprint(p))
		}
	}()
	decide()
}
