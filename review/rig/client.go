package rig

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"
)

// Answer is a JSON-RPC answer as a client got it.
type Answer struct {
	ID     json.RawMessage `json:"id"`
	Result json.RawMessage `json:"result"`
	Error  *struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	At time.Time `json:"-"` // when its last byte had come
}

// Kind says in a word how the call ended.
func (a *Answer) Kind() string {
	switch {
	case a.Error == nil:
		return "served"
	case a.Error.Code == -32001:
		return "refused"
	}
	return "failed"
}

// Client is a connection of a JSON-RPC client.
type Client struct {
	net.Conn
	in *json.Decoder
}

// Dial connects a client to a node.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, json.NewDecoder(c)}, nil
}

// Next reads the next answer, or the answers to a batch. The error is io.EOF where the connection ended between two.
func (c *Client) Next() ([]Answer, error) {
	var text json.RawMessage
	if err := c.in.Decode(&text); err != nil {
		return nil, err
	}
	at := time.Now()
	var all []Answer
	if text[0] != '[' {
		all = make([]Answer, 1)
		if err := json.Unmarshal(text, &all[0]); err != nil {
			return nil, err
		}
	} else if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	for i := range all {
		all[i].At = at
	}
	return all, nil
}

// IsClose reports whether an error of Next means that the node has ended the connection.
func IsClose(err error) bool {
	var e net.Error
	return err != nil && !(errors.As(err, &e) && e.Timeout()) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &e))
}
