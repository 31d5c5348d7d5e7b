package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"cicadagrade.example/tier/queue"
)

// Sizes of the buffers of one direction of a connection.
const (
	chunkBytes = 32 << 10
	chunkCount = 64
)

// chunk is some bytes with the time they were read. No bytes mark the end of
// the stream.
type chunk struct {
	at    time.Time
	bytes []byte
}

// pump carries one direction of a connection: a reading and a writing duty
// joined by a ring, so that a delay does not limit the rate.
type pump struct {
	l       *Link
	from    *net.TCPConn
	to      *net.TCPConn
	answers bool
	chunks  *queue.Queue[chunk]
	spoilt  atomic.Bool
}

func newPump(l *Link, from, to *net.TCPConn, answers bool) *pump {
	return &pump{l: l, from: from, to: to, answers: answers, chunks: queue.New[chunk](chunkCount)}
}

func (p *pump) read(ctx context.Context) error {
	for {
		b := make([]byte, chunkBytes)
		n, err := p.from.Read(b)
		if n > 0 {
			if err := p.chunks.Push(ctx, chunk{at: time.Now(), bytes: b[:n]}); err != nil {
				return err
			}
		}
		if err != nil {
			return p.chunks.Push(ctx, chunk{at: time.Now()})
		}
	}
}

func (p *pump) write(ctx context.Context) error {
	for {
		c, err := p.chunks.Pop(ctx)
		if err != nil {
			return err
		}
		if err := pause(ctx, c.at.Add(p.l.Condition().delay.Duration())); err != nil {
			return err
		}
		if err := p.l.passable(ctx); err != nil {
			return err
		}
		if len(c.bytes) == 0 {
			return p.to.CloseWrite()
		}
		if err := p.pass(c.bytes); err != nil {
			return err
		}
	}
}

// pass writes bytes, or throws them away when the link loses answers.
func (p *pump) pass(b []byte) error {
	if p.answers && (p.spoilt.Load() || p.l.Condition().loseAnswers) {
		p.spoilt.Store(true)
		p.l.lost.Add(int64(len(b)))
		return nil
	}
	_, err := p.to.Write(b)
	return err
}
