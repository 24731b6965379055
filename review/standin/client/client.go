// Package client is a stand-in of a client (PROTOCOL.md, "Requests" and "Answers").
package client

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is one connection of a client.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
}

// Answer is what the client got for one request. Err is set if there was no complete
// answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// String describes the answer in a record.
func (a Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	return fmt.Sprintf("%d, %d bytes, stamp %q", a.Status, len(a.Body), a.Header.Get("Carawayhold-Server-Stamp"))
}

// Dial connects to the front address of a machine.
func Dial(front string) (*Conn, error) {
	n, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{net: n, reader: bufio.NewReader(n)}, nil
}

// Send writes a request.
func (c *Conn) Send(method, host, path, id string, budget time.Duration, body string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCarawayhold-Request-Id: %s\r\nCarawayhold-Deadline-Ms: %d\r\n",
		method, path, host, id, budget.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c.net, b.String())
	return err
}

// Receive reads the next answer until the time budget and a second have passed.
func (c *Conn) Receive(method string, budget time.Duration) Answer {
	_ = c.net.SetReadDeadline(time.Now().Add(budget + time.Second))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(r.Body)
	return Answer{Status: r.StatusCode, Header: r.Header, Body: string(body), Err: err}
}

// Call sends a request and reads its answer.
func (c *Conn) Call(method, host, path, id string, budget time.Duration, body string) Answer {
	if err := c.Send(method, host, path, id, budget, body); err != nil {
		return Answer{Err: err}
	}
	return c.Receive(method, budget)
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }
