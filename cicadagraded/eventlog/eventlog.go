// Package eventlog writes structured log lines asynchronously, so that logging never blocks
// the caller. Lines go through a bounded queue. Lines that do not fit are dropped, and the
// number of dropped lines is logged.
package eventlog

import (
	"context"
	"io"
	"sync"

	"github.com/charmbracelet/log"

	"cicadagrade.example/tier"
)

// Limits of the queue and the rate of lines.
const (
	// queueSize is how many lines can wait for the writer.
	queueSize = 512
	// requestLinesPerSecond is the rate limit of lines about single requests, so that a
	// flood of them uses a bounded part of the CPU.
	requestLinesPerSecond = 40.0
	// requestLinesBurst is how many such lines can be logged at once.
	requestLinesBurst = 80.0
)

// line is a queued log line.
type line struct {
	message string
	attrs   []any
	level   log.Level
}

// Log is the log of one process. It is safe for concurrent use.
type Log struct {
	clock  *tier.Clock
	logger *log.Logger
	queue  chan line

	mu         sync.Mutex
	tokens     float64
	refilledAt tier.Millis
	dropped    int64
}

// New returns a log that adds attrs, alternating keys and values, to each line. Lines are
// queued until Run writes them to w.
func New(w io.Writer, clock *tier.Clock, attrs ...any) *Log {
	l := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return &Log{
		clock: clock, logger: l.With(attrs...), queue: make(chan line, queueSize),
		tokens: requestLinesBurst,
	}
}

// Info logs a change in the state of the process or its dependencies, at level info.
func (l *Log) Info(message string, attrs ...any) { l.push(line{message, attrs, log.InfoLevel}) }

// Warn logs a fault that an operator should look at, at level warn.
func (l *Log) Warn(message string, attrs ...any) { l.push(line{message, attrs, log.WarnLevel}) }

// RateLimitedInfo logs an event of a single request at level info. It is rate-limited: lines
// above the limit are dropped and counted.
func (l *Log) RateLimitedInfo(message string, attrs ...any) {
	if l.takeToken() {
		l.push(line{message, attrs, log.InfoLevel})
	}
}

// takeToken takes a token of the rate limit. If none is left, it counts a dropped line and
// returns false.
func (l *Log) takeToken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.tokens = min(requestLinesBurst, l.tokens+requestLinesPerSecond*float64(now-l.refilledAt)/float64(tier.Second))
	l.refilledAt = now
	if l.tokens < 1 {
		l.dropped++
		return false
	}
	l.tokens--
	return true
}

// push queues a line, or counts it as dropped if the queue is full.
func (l *Log) push(entry line) {
	select {
	case l.queue <- entry:
	default:
		l.mu.Lock()
		l.dropped++
		l.mu.Unlock()
	}
}

// takeDropped returns the number of lines dropped since the last call.
func (l *Log) takeDropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}

// Run writes queued lines until ctx ends, and then those that are still queued.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case entry := <-l.queue:
			l.write(entry)
		case <-ctx.Done():
			for {
				select {
				case entry := <-l.queue:
					l.write(entry)
				default:
					return nil
				}
			}
		}
	}
}

func (l *Log) write(entry line) {
	l.logger.Log(entry.level, entry.message, entry.attrs...)
	if dropped := l.takeDropped(); dropped > 0 {
		l.logger.Log(log.WarnLevel, "lines-dropped", "count", dropped)
	}
}
