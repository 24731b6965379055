package deployment

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a caller got for a request.
type Answer struct {
	Status     int
	ID         string // the identifier that the response echoes
	Stamp      string
	Body       string
	RetryAfter string
	Close      bool // the connection ends after it
	// Err is the end of the connection without a whole response.
	Err error
}

// Caller sends requests on one connection.
type Caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Call opens a connection to a proxy.
func Call(address string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Send writes a request. Several may be sent before the first answer.
func (c *Caller) Send(method, host, target, id string, deadline time.Duration, body string) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		method, target, host, HeaderRequestID, id, HeaderDeadline, deadline.Milliseconds())
	if body != "" || method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c.conn, head+"\r\n"+body)
	return err
}

// Receive reads the next answer within a time.
func (c *Caller) Receive(within time.Duration) Answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{
		Status: response.StatusCode, ID: response.Header.Get(HeaderRequestID),
		Stamp: response.Header.Get(HeaderStamp), Body: string(body),
		RetryAfter: response.Header.Get("Retry-After"), Close: response.Close, Err: err,
	}
}

// Close leaves.
func (c *Caller) Close() { _ = c.conn.Close() }
