// Package peers has the stand-ins that the cases of the review start beside the node: dispatchers, a worker pool
// and a membership service. They follow the platform's protocol page and listen on loopback only. It also starts nodes, with the command of the deploy file, and writes the record.
package peers

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a case: one line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add writes a line with the time since the start in seconds.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
