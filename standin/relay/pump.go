package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"cicadagrade.example/tier/queue"
)

// Sizes of the queue of one direction of a connection.
const (
	chunkBytes      = 32 << 10
	maxQueuedChunks = 64
)

// chunk is the bytes of one read, and its time. A chunk without bytes marks the end of the
// stream.
type chunk struct {
	at    time.Time
	bytes []byte
}

// pump forwards one direction of a connection. A bounded queue connects its reader to
// its writer, so that a delay does not limit the throughput.
type pump struct {
	link        *Link
	from        *net.TCPConn
	to          *net.TCPConn
	replies     bool // this is the direction from the target to the caller
	chunks      *queue.Queue[chunk]
	lostReplies atomic.Bool // bytes were discarded, and so are all that follow
}

func newPump(l *Link, from, to *net.TCPConn, replies bool) *pump {
	return &pump{link: l, from: from, to: to, replies: replies, chunks: queue.New[chunk](maxQueuedChunks)}
}

// read queues what it reads until the stream ends.
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

// write delivers queued chunks after the link's delay, while the link is passable.
func (p *pump) write(ctx context.Context) error {
	for {
		c, err := p.chunks.Pop(ctx)
		if err != nil {
			return err
		}
		if err := waitUntil(ctx, c.at.Add(p.link.Condition().delay.Duration())); err != nil {
			return err
		}
		if err := p.link.awaitPassable(ctx); err != nil {
			return err
		}
		if len(c.bytes) == 0 {
			return p.to.CloseWrite()
		}
		if err := p.deliver(c.bytes); err != nil {
			return err
		}
	}
}

// deliver writes bytes, or discards them if the connection loses replies.
func (p *pump) deliver(b []byte) error {
	if p.replies && (p.lostReplies.Load() || p.link.Condition().loseReplies) {
		p.lostReplies.Store(true)
		p.link.lostBytes.Add(int64(len(b)))
		return nil
	}
	_, err := p.to.Write(b)
	return err
}
