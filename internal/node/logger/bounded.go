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
	// flushPeriod is the interval at which buffered lines are written.
	flushPeriod = 100 * time.Millisecond
	// maxBuffered bounds the buffered bytes; lines beyond it are dropped and counted.
	maxBuffered = 128 << 10
	// maxLinesPerSecond bounds the log volume of one node; lines beyond it are dropped and
	// counted.
	maxLinesPerSecond = 400
)

// NewBounded returns a logger that writes lines of at least the given level to standard output
// and never blocks its caller. Lines that the output can't take in time are dropped and counted.
// flush writes the remaining lines and stops the writer.
func NewBounded(level, node string) (log *zap.Logger, flush func(), err error) {
	const op = "logger.NewBounded"
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fault.Wrap(op, KindLevel, err)
	}
	out := &buffer{out: os.Stdout, stop: make(chan struct{}), done: make(chan struct{})}
	go out.run()
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), out, lvl)
	return zap.New(core).With(zap.String("node", node)), out.shutDown, nil
}

// buffer collects lines, which run writes to out.
type buffer struct {
	out  *os.File
	stop chan struct{}
	done chan struct{}

	mu          sync.Mutex
	lines       []byte
	dropped     int
	count       int
	windowStart time.Time
}

// Write implements zapcore.WriteSyncer. It copies the line, or drops it if a bound is exceeded.
func (bu *buffer) Write(line []byte) (int, error) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now := time.Now(); now.Sub(bu.windowStart) > time.Second {
		bu.windowStart, bu.count = now, 0
	}
	bu.count++
	if bu.count > maxLinesPerSecond || len(bu.lines)+len(line) > maxBuffered {
		bu.dropped++
		return len(line), nil
	}
	bu.lines = append(bu.lines, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since run writes the lines periodically.
func (bu *buffer) Sync() error { return nil }

func (bu *buffer) run() {
	defer close(bu.done)
	tk := time.NewTicker(flushPeriod)
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
		// The error is ignored, since there is nowhere to report it.
		_, _ = bu.out.Write(lines)
	}
	return lines
}

func (bu *buffer) shutDown() {
	close(bu.stop)
	<-bu.done
}
