// Package eventlog writes structured log lines without ever blocking who logs:
// lines go through a bounded ring, and what does not fit is counted and the
// count written.
package eventlog

import (
	"context"
	"io"
	"sync"

	"github.com/charmbracelet/log"

	"cicadagrade.example/tier"
)

// Defaults.
const (
	// ringLines is how many lines wait for the writer.
	ringLines = 512
	// ordinaryRate bounds the lines a second about single requests, so that a
	// flood costs a bounded part of the processor.
	ordinaryRate = 40.0
	// ordinaryBurst is how many such lines may come at once.
	ordinaryBurst = 80.0
)

type line struct {
	message string
	pairs   []any
	level   log.Level
}

// Log is the log of one process.
type Log struct {
	clock  *tier.Clock
	logger *log.Logger
	lines  chan line

	mu      sync.Mutex
	tokens  float64
	filled  tier.Millis
	dropped int64
}

// New returns a log that writes to w once Run runs.
func New(w io.Writer, clock *tier.Clock, pairs ...any) *Log {
	l := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return &Log{
		clock: clock, logger: l.With(pairs...), lines: make(chan line, ringLines),
		tokens: ordinaryBurst,
	}
}

// Info logs a change of what the process believes or depends on.
func (l *Log) Info(message string, pairs ...any) { l.offer(line{message, pairs, log.InfoLevel}) }

// Warn logs something that needs a person's look.
func (l *Log) Warn(message string, pairs ...any) { l.offer(line{message, pairs, log.WarnLevel}) }

// RateLimitedInfo logs a decision about one request, as long as there are not too
// many of them.
func (l *Log) RateLimitedInfo(message string, pairs ...any) {
	if l.admit() {
		l.offer(line{message, pairs, log.InfoLevel})
	}
}

func (l *Log) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.tokens = min(ordinaryBurst, l.tokens+ordinaryRate*float64(now-l.filled)/float64(tier.Second))
	l.filled = now
	if l.tokens < 1 {
		l.dropped++
		return false
	}
	l.tokens--
	return true
}

func (l *Log) offer(n line) {
	select {
	case l.lines <- n:
	default:
		l.mu.Lock()
		l.dropped++
		l.mu.Unlock()
	}
}

// takeDropped is the number of lines that were left out since the last call.
func (l *Log) takeDropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}

// Run writes lines until ctx ends, then those that are left.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case n := <-l.lines:
			l.write(n)
		case <-ctx.Done():
			for {
				select {
				case n := <-l.lines:
					l.write(n)
				default:
					return nil
				}
			}
		}
	}
}

func (l *Log) write(n line) {
	l.logger.Log(n.level, n.message, n.pairs...)
	if dropped := l.takeDropped(); dropped > 0 {
		l.logger.Log(log.WarnLevel, "lines-dropped", "count", dropped)
	}
}
