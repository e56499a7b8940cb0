package logger

import (
	"os"
	"strconv"
	"sync"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lycheepick/internal/rule/fault"
)

const (
	// flushEvery is the time for which lines are gathered before they are written.
	flushEvery = 100 * time.Millisecond
	// mostBuffered bounds the bytes that wait to be written; lines beyond are dropped
	// and counted.
	mostBuffered = 128 << 10
	// linesPerSecond bounds the volume of the log of one node.
	linesPerSecond = 400
)

// NewBounded returns a log to standard output from a level on that never blocks its
// caller: lines that the output can't take in time are dropped and counted. flush writes
// what is left and ends the log.
func NewBounded(level, node string) (log *zap.Logger, flush func(), err error) {
	const op = "logger.NewBounded"
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fault.Wrap(op, KindLevel, err)
	}
	out := &buffer{out: os.Stdout, stop: make(chan struct{}), done: make(chan struct{})}
	go out.run()
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), out, least)
	return zap.New(core).With(zap.String("node", node)), out.end, nil
}

// buffer gathers lines for one writer.
type buffer struct {
	out  *os.File
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	lines   []byte
	dropped int
	count   int
	since   time.Time
}

// Write implements zapcore.WriteSyncer. It keeps a copy of the line.
func (bu *buffer) Write(line []byte) (int, error) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now := time.Now(); now.Sub(bu.since) > time.Second {
		bu.since, bu.count = now, 0
	}
	bu.count++
	if bu.count > linesPerSecond || len(bu.lines)+len(line) > mostBuffered {
		bu.dropped++
		return len(line), nil
	}
	bu.lines = append(bu.lines, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written soon in any case.
func (bu *buffer) Sync() error { return nil }

func (bu *buffer) run() {
	defer close(bu.done)
	tk := time.NewTicker(flushEvery)
	defer tk.Stop()
	var spare []byte
	for {
		select {
		case <-tk.C:
			spare = bu.write(spare)
		case <-bu.stop:
			bu.write(spare)
			return
		}
	}
}

func (bu *buffer) write(spare []byte) []byte {
	bu.mu.Lock()
	lines := bu.lines
	bu.lines = spare[:0]
	if bu.dropped > 0 {
		lines = append(lines, "level=warn event=log_lines_dropped count="+strconv.Itoa(bu.dropped)+"\n"...)
		bu.dropped = 0
	}
	bu.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to tell of a log that can't be written.
		_, _ = bu.out.Write(lines)
	}
	return lines
}

func (bu *buffer) end() {
	close(bu.stop)
	<-bu.done
}
