package main

import (
	"errors"
	"fmt"
	"net"
	"os"
)

const (
	// firstPort and lastPort bound the ports of proxies, below the ephemeral range of the kernel and
	// the ports of other tests.
	firstPort      = 12000
	lastPort       = 19999
	portsPerBlock  = 100
	portsPerProxy  = 8
	proxiesInBlock = (portsPerBlock - 1) / portsPerProxy
)

var errNoPorts = errors.New("no free ports")

// portBlocks are the ports of a scenario. A listener on the last port of each block keeps other soaks
// on this machine from using it.
type portBlocks struct {
	first []int
	held  []net.Listener
}

func reservePorts(proxies int) (*portBlocks, error) {
	const blocks = (lastPort + 1 - firstPort) / portsPerBlock
	p := &portBlocks{}
	needed := (proxies + proxiesInBlock - 1) / proxiesInBlock
	for i := 0; i < blocks && len(p.first) < needed; i++ {
		first := firstPort + (os.Getpid()+i)%blocks*portsPerBlock
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+portsPerBlock-1))
		if err != nil {
			continue
		}
		p.first, p.held = append(p.first, first), append(p.held, l)
	}
	if len(p.first) < needed {
		p.close()
		return nil, fmt.Errorf("%w for %d proxies", errNoPorts, proxies)
	}
	return p, nil
}

func (p *portBlocks) port(proxy, k int) int {
	return p.first[proxy/proxiesInBlock] + proxy%proxiesInBlock*portsPerProxy + k
}

func (p *portBlocks) address(proxy, k int) string {
	return fmt.Sprintf("127.0.0.1:%d", p.port(proxy, k))
}

func (p *portBlocks) close() {
	for _, l := range p.held {
		_ = l.Close()
	}
}
