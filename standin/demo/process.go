package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const stopTimeout = 15 * time.Second

// process is a running program whose output goes to a log file.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

func startProcess(name, program, logDirectory string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(logDirectory, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "cannot create a log file")
	}
	defer log.Close()
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, eris.Wrapf(err, "cannot start %s", name)
	}
	p := &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = command.Wait()
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// stop sends SIGTERM and kills the process after stopTimeout.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// processGroup stops all processes that were started through it.
type processGroup struct {
	logs      string // directory
	processes []*process
}

func (g *processGroup) start(name, program string, arguments ...string) (*process, error) {
	p, err := startProcess(name, program, g.logs, arguments...)
	if err != nil {
		return nil, err
	}
	g.processes = append(g.processes, p)
	return p, nil
}

func (g *processGroup) stop() {
	var group sync.WaitGroup
	for _, p := range g.processes {
		group.Go(p.stop)
	}
	group.Wait()
}
