package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// detectTime is after how long without an answer the kernel ends a connection that a daemon has opened, by the keep-alive
// probes that the daemon sets (1 s and two more of 1 s).
const detectTime = 3 * time.Second

// link carries the connections that one region opens to the daemons of another one. A cut is silent: what has not arrived
// stays away. A relay can't withhold the acknowledgements of its own kernel, so that it plays the part of the kernel of the
// side that opened a connection and ends it after detectTime. The other side hears nothing while the cut lasts.
type link struct {
	mu    sync.Mutex
	cut   bool
	pairs map[*pair]bool
	moved *sync.Cond // signals the end of a cut
}

// pair is a connection through a link.
type pair struct{ opened, accepted *net.TCPConn }

func newLink() *link {
	l := &link{pairs: map[*pair]bool{}}
	l.moved = sync.NewCond(&l.mu)
	return l
}

// relay accepts connections at an address and carries them to another one.
func (l *link) relay(at, to netip.AddrPort) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c.(*net.TCPConn), to)
		}
	}()
	return nil
}

// carry carries a connection.
func (l *link) carry(opened *net.TCPConn, to netip.AddrPort) {
	l.await()
	accepted, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(to))
	if err != nil {
		_ = opened.SetLinger(0)
		_ = opened.Close()
		return
	}
	p := &pair{opened, accepted}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var copies sync.WaitGroup
	for _, d := range []struct{ from, to *net.TCPConn }{{opened, accepted}, {accepted, opened}} {
		copies.Go(func() { l.copy(d.from, d.to) })
	}
	copies.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	_ = opened.Close()
	_ = accepted.Close()
}

// copy copies what arrives from one side to the other one, and its end.
func (l *link) copy(from, to *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.await()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // the end of the connection itself
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// await waits until the link is not cut.
func (l *link) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.moved.Wait()
	}
}

// cutFor cuts the link for a time.
func (l *link) cutFor(d time.Duration) {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	time.Sleep(detectTime)
	l.mu.Lock()
	for p := range l.pairs {
		_ = p.opened.SetLinger(0)
		_ = p.opened.Close()
	}
	l.mu.Unlock()
	time.Sleep(d - detectTime)
	l.mu.Lock()
	l.cut = false
	l.moved.Broadcast()
	l.mu.Unlock()
}

// linkRegions gives the daemons of each region addresses of a network of their own and puts links between all regions. It
// returns the links by the regions that open connections and those that they lead to.
func (w *world) linkRegions() (map[[2]string]*link, error) {
	subnet := rand.IntN(250)
	var names []string
	index := map[string]int{}
	for n, h := range w.hosts {
		if _, ok := index[h.region]; !ok {
			index[h.region] = len(names)
			names = append(names, h.region)
		}
		h.peers = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(100 + index[h.region]), byte(subnet), byte(n + 1)}), h.peers.Port())
	}
	links := map[[2]string]*link{}
	for from, a := range names {
		for to, b := range names {
			if from == to {
				continue
			}
			l, network := newLink(), byte(110+10*from+to)
			links[[2]string{a, b}] = l
			for _, h := range w.hosts {
				if h.region == a {
					h.translate = append(h.translate, fmt.Sprintf("{from: 127.%d.%d.0/24, to: 127.%d.%d.0/24}", 100+to, subnet, network, subnet))
					continue
				}
				if h.region != b {
					continue
				}
				ip := h.peers.Addr().As4()
				ip[1] = network
				if err := l.relay(netip.AddrPortFrom(netip.AddrFrom4(ip), h.peers.Port()), h.peers); err != nil {
					return nil, err
				}
			}
		}
	}
	return links, nil
}
