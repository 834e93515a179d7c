package stand

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"
)

// Answer is an answer to a call.
type Answer struct {
	At   time.Duration
	Code int // of an error; 0 for a result
}

// Client is a tool's connection to a node's JSON-RPC front.
type Client struct {
	c    *Case
	conn net.Conn
	name string

	mu      sync.Mutex
	answers map[string]Answer
	ended   time.Duration // when the connection ended; 0 while it is open
	bytes   int64
	done    chan struct{}
}

// Dial connects a client.
func Dial(c *Case, name, addr string) (*Client, error) {
	var conn net.Conn
	var err error
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if conn, err = net.DialTimeout("tcp", addr, time.Second); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	k := &Client{c: c, conn: conn, name: name, answers: map[string]Answer{}, done: make(chan struct{})}
	go k.read()
	return k, nil
}

type counter struct {
	io.Reader
	k *Client
}

func (r counter) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.k.mu.Lock()
	r.k.bytes += int64(n)
	r.k.mu.Unlock()
	return n, err
}

type response struct {
	ID    string `json:"id"`
	Error *struct {
		Code int `json:"code"`
	} `json:"error"`
}

func (k *Client) read() {
	defer close(k.done)
	d := json.NewDecoder(bufio.NewReaderSize(counter{k.conn, k}, 64<<10))
	for {
		var text json.RawMessage
		if err := d.Decode(&text); err != nil {
			k.mu.Lock()
			k.ended = k.c.Now()
			k.mu.Unlock()
			k.c.Log("client %s: connection ended: %v", k.name, err)
			return
		}
		var all []response
		if json.Unmarshal(text, &all) != nil {
			var one response
			if json.Unmarshal(text, &one) != nil {
				k.c.Log("client %s: got %.200s", k.name, text)
				continue
			}
			all = []response{one}
		}
		now := k.c.Now()
		k.mu.Lock()
		for _, r := range all {
			a := Answer{At: now}
			if r.Error != nil {
				a.Code = r.Error.Code
			}
			if old, ok := k.answers[r.ID]; ok {
				k.c.Log("client %s: SECOND answer to %s: %v after %v", k.name, r.ID, a, old)
				continue
			}
			k.answers[r.ID] = a
			k.c.Log("client %s: answer to %s, code %d", k.name, r.ID, a.Code)
		}
		k.mu.Unlock()
	}
}

// Send writes text, and returns when its last byte was written.
func (k *Client) Send(text string) (time.Duration, error) {
	_, err := io.WriteString(k.conn, text)
	return k.c.Now(), err
}

// Close closes the connection: the client has gone.
func (k *Client) Close() time.Duration {
	k.conn.Close()
	now := k.c.Now()
	k.c.Log("client %s closes its connection", k.name)
	return now
}

// Answer returns the answer to a call, if it came.
func (k *Client) Answer(id string) (Answer, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, ok := k.answers[id]
	return a, ok
}

// Answers returns how many answers came, and how many bytes.
func (k *Client) Answers() (n int, bytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.answers), k.bytes
}

// Ended reports when the connection ended, 0 while it is open.
func (k *Client) Ended() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended
}
