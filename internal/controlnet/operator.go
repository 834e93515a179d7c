package controlnet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/controlplane/changefile"
	"craneglade/internal/controlplane/resource"
)

// Limits of operators' requests.
const (
	operatorTimeout  = 30 * time.Second
	maxOperatorBytes = 16 << 20
	maxOperators     = 8
)

// Operation is the kind of an operator's request.
type Operation string

// The operations.
const (
	OperationStatus Operation = "status"
	OperationApply  Operation = "apply"
	OperationGet    Operation = "get"
)

// Request is one request of an operator: a JSON object on a connection of its own.
type Request struct {
	Operation Operation `json:"operation"`
	File      string    `json:"file,omitempty"`   // the name of the file of changes to apply, for error messages
	Text      string    `json:"text,omitempty"`   // the content of the file
	Region    string    `json:"region,omitempty"` // of the resources to get; "" for the process's own region
	Service   string    `json:"service,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	Name      string    `json:"name,omitempty"`
}

// Response is the answer to a Request. Exactly one field is set.
type Response struct {
	Error     string          `json:"error,omitempty"` // one line
	Position  string          `json:"position,omitempty"`
	Status    *DaemonStatus   `json:"status,omitempty"`
	Resources json.RawMessage `json:"resources,omitempty"` // in the form of a file of changes that creates them
}

// Call sends a request to the process that listens on a socket. It returns an error in the response as its own.
func Call(path string, q Request) (*Response, error) {
	conn, err := net.DialTimeout("unix", path, operatorTimeout)
	if err != nil {
		return nil, fmt.Errorf("no process of the control plane answers on %s: %w", path, err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(operatorTimeout)); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(conn).Encode(q); err != nil {
		return nil, err
	}
	r := &Response{}
	if err := json.NewDecoder(conn).Decode(r); err != nil {
		return nil, fmt.Errorf("connection lost before the response: it is unknown whether the request was executed: %w", err)
	}
	if r.Error != "" {
		return nil, errors.New(r.Error)
	}
	return r, nil
}

// listenUnix listens on a socket that only the owner of this process can connect to.
func listenUnix(path string) (net.Listener, error) {
	ln, err := net.Listen("unix", path)
	if errors.Is(err, syscall.EADDRINUSE) {
		if err := removeStaleSocket(path); err != nil {
			return nil, err
		}
		ln, err = net.Listen("unix", path)
	}
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return ln, nil
}

// serveOperators serves operators' requests on ln until ctx ends, and closes ln.
func (d *daemon) serveOperators(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	slots := make(chan struct{}, maxOperators)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		slots <- struct{}{}
		conns.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) })
			defer stop()
			if err := d.serveOperator(conn); err != nil {
				d.log.Debug("operator request failed", "err", err)
			}
		})
	}
}

func (d *daemon) serveOperator(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(operatorTimeout)); err != nil {
		return err
	}
	var q Request
	if err := json.NewDecoder(io.LimitReader(conn, maxOperatorBytes)).Decode(&q); err != nil {
		return err
	}
	r, err := d.handle(&q)
	if err != nil {
		r = &Response{Error: err.Error()}
	}
	return json.NewEncoder(conn).Encode(r)
}

func (d *daemon) handle(q *Request) (*Response, error) {
	switch q.Operation {
	case OperationStatus:
		status := d.status()
		return &Response{Status: &status}, nil
	case OperationApply:
		return d.apply(q)
	case OperationGet:
		return d.get(q)
	}
	return nil, fmt.Errorf("operation: unknown operation %q; use status, apply or get", q.Operation)
}

func (d *daemon) apply(q *Request) (*Response, error) {
	if d.member == nil {
		return nil, fmt.Errorf("this process is a relay: apply changes at the writer of region %q", d.cfg.Region)
	}
	changes, err := changefile.Parse(q.File, []byte(q.Text))
	if err != nil {
		return nil, err
	}
	position, err := d.member.apply(changes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", q.File, err)
	}
	d.log.Info("changes applied", "position", position, "changes", len(changes))
	return &Response{Position: position.String()}, nil
}

func (d *daemon) get(q *Request) (*Response, error) {
	var kind resource.Kind
	if q.Kind != "" {
		var err error
		if kind, err = changefile.ParseKind(q.Kind); err != nil {
			return nil, fmt.Errorf("kind: %w", err)
		}
	}
	region := q.Region
	if region == "" {
		region = d.cfg.Region
	}
	all, err := d.resources(region, q.Service, kind, q.Name)
	if err != nil {
		return nil, err
	}
	text, err := changefile.Format(all)
	return &Response{Resources: text}, err
}
