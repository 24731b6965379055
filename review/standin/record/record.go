// Package record writes what a case sent, got and saw to record.txt.
package record

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Log is the record of one run. It is safe for concurrent use.
type Log struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// Open creates the record at path.
func Open(path string) (*Log, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Log{start: time.Now(), file: f}, nil
}

// Printf adds a line with the seconds since the start.
func (l *Log) Printf(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, values...))
}

// At returns a time in seconds since the start.
func (l *Log) At(t time.Time) float64 { return t.Sub(l.start).Seconds() }

// Result adds a line and prints it.
func (l *Log) Result(format string, values ...any) {
	l.Printf(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close ends the record.
func (l *Log) Close() { _ = l.file.Close() }
