// Package frame carries messages over a stream in frames that are sealed with the keys of a fleet.
//
// A session begins with a hello of each side: a magic number and 32 random bytes. From the fleet's key, the cluster's name
// and both hellos each direction derives a key of its own (HKDF-SHA-256), and seals its frames with AES-GCM under it. The
// nonce is the frame's sequence number, and the additional data are the cluster's name and that number, so that a frame can
// be replayed, reordered or left out neither within a session nor from another one, and none is taken from another cluster.
//
// On the wire a frame is the length of what is sealed, as four bytes in big-endian order, and that many bytes.
package frame

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Sizes in bytes.
const (
	// MaxMessage is the largest message that a frame carries.
	MaxMessage = 4 << 20
	// maxFirst is the largest first message of a session: until it is opened nobody has shown that the other side has a key.
	maxFirst = 4 << 10

	lengthSize = 4
	tagSize    = 16
	nonceSize  = 12
	randomSize = 32
	helloSize  = len(magic) + randomSize
)

// magic begins a hello; its last byte is the version of the framing.
const magic = "CGF\x01"

// The labels by which each direction derives its key.
const (
	toAcceptor = "to acceptor"
	toDialer   = "to dialer"
)

// Errors of a session. Each ends it.
var (
	ErrBadMagic     = errors.New("the other side does not speak this framing, or another version of it")
	ErrTooLarge     = errors.New("a frame is larger than allowed")
	ErrNotAuthentic = errors.New("a frame can't be opened: another key or cluster, or it was changed, repeated or left out on the way")
)

// Config is what both sides of a session have in common, and how long this side waits.
type Config struct {
	Keys         [][]byte      // of 16, 24 or 32 bytes: the first seals, all open
	Cluster      string        // sessions with another cluster are refused
	Handshake    time.Duration // for both hellos and the first frame of the other side
	ReadTimeout  time.Duration // a session on which nothing comes for so long ends
	WriteTimeout time.Duration // for one frame to be taken by the other side's machine
}

// Conn is one session. One goroutine may read while another writes. Close may be called from any.
type Conn struct {
	conn     net.Conn
	cfg      Config
	begun    time.Time
	seal     *sealer
	opening  []*sealer // one for each key, until the first frame tells which the other side seals with; then that one alone
	opened   bool
	sent     atomic.Int64
	received atomic.Int64
}

// Dial begins a session on a connection that this side has opened. On an error the connection is closed.
func Dial(conn net.Conn, cfg Config) (*Conn, error) { return begin(conn, cfg, true) }

// Accept begins a session on a connection that the other side has opened. On an error the connection is closed.
func Accept(conn net.Conn, cfg Config) (*Conn, error) { return begin(conn, cfg, false) }

func begin(conn net.Conn, cfg Config, dialer bool) (*Conn, error) {
	c := &Conn{conn: conn, cfg: cfg, begun: time.Now()}
	own, other, err := c.exchangeHellos()
	if err == nil {
		err = c.deriveKeys(own, other, dialer)
	}
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return c, nil
}

// exchangeHellos sends this side's hello and reads the other's. Both fit into any socket's buffer, so that neither side
// waits for the other to read.
func (c *Conn) exchangeHellos() (own, other []byte, err error) {
	if err := c.conn.SetDeadline(c.begun.Add(c.cfg.Handshake)); err != nil {
		return nil, nil, err
	}
	own = append([]byte(magic), make([]byte, randomSize)...)
	rand.Read(own[len(magic):]) // never fails: see crypto/rand
	if _, err := c.conn.Write(own); err != nil {
		return nil, nil, err
	}
	other = make([]byte, helloSize)
	if _, err := io.ReadFull(c.conn, other); err != nil {
		return nil, nil, err
	}
	c.sent.Add(int64(helloSize))
	c.received.Add(int64(helloSize))
	if string(other[:len(magic)]) != magic {
		return nil, nil, ErrBadMagic
	}
	return own, other, nil
}

func (c *Conn) deriveKeys(own, other []byte, dialer bool) (err error) {
	hellos, writing, reading := append(append([]byte(nil), own...), other...), toAcceptor, toDialer
	if !dialer {
		hellos, writing, reading = append(append([]byte(nil), other...), own...), toDialer, toAcceptor
	}
	if c.seal, err = newSealer(c.cfg.Keys[0], c.cfg.Cluster, hellos, writing); err != nil {
		return err
	}
	for _, key := range c.cfg.Keys {
		s, err := newSealer(key, c.cfg.Cluster, hellos, reading)
		if err != nil {
			return err
		}
		c.opening = append(c.opening, s)
	}
	return nil
}

// Write sends one message.
func (c *Conn) Write(message []byte) error {
	if len(message) > MaxMessage {
		return ErrTooLarge
	}
	out := make([]byte, lengthSize, lengthSize+len(message)+tagSize)
	binary.BigEndian.PutUint32(out, uint32(len(message)+tagSize))
	out = c.seal.seal(out, message)
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil {
		return err
	}
	if _, err := c.conn.Write(out); err != nil {
		return err
	}
	c.sent.Add(int64(len(out)))
	return nil
}

// Read waits for the next message. After an error the session is of no more use.
func (c *Conn) Read() ([]byte, error) {
	deadline, largest := time.Now().Add(c.cfg.ReadTimeout), MaxMessage
	if !c.opened {
		deadline, largest = c.begun.Add(c.cfg.Handshake), maxFirst
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	var head [lengthSize]byte
	if _, err := io.ReadFull(c.conn, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	switch {
	case size < tagSize:
		return nil, ErrNotAuthentic
	case size > uint32(largest+tagSize):
		return nil, fmt.Errorf("%w: %d bytes, where %d may come", ErrTooLarge, size, largest+tagSize)
	}
	sealed := make([]byte, size)
	if _, err := io.ReadFull(c.conn, sealed); err != nil {
		return nil, err
	}
	c.received.Add(int64(lengthSize + len(sealed)))
	return c.open(sealed)
}

// open opens the next frame, the first of a session with each key in turn.
func (c *Conn) open(sealed []byte) ([]byte, error) {
	for _, s := range c.opening {
		message, err := s.open(sealed)
		if err != nil {
			continue
		}
		c.opening, c.opened = []*sealer{s}, true
		return message, nil
	}
	return nil, ErrNotAuthentic
}

// Sent is how many bytes went out.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Received is how many bytes came in.
func (c *Conn) Received() int64 { return c.received.Load() }

// Close ends the session. Reads and writes under way return.
func (c *Conn) Close() error { return c.conn.Close() }

// sealer seals or opens the frames of one direction, in their order.
type sealer struct {
	aead    cipher.AEAD
	cluster string
	next    uint64 // the sequence number of the next frame
}

func newSealer(key []byte, cluster string, hellos []byte, direction string) (*sealer, error) {
	derived, err := hkdf.Key(sha256.New, key, hellos, "craneglade frame\x00"+direction+"\x00"+cluster, len(key))
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, err
	}
	return &sealer{aead: aead, cluster: cluster}, nil
}

// nonce and additional data of the next frame.
func (s *sealer) parameters() (nonce, additional []byte) {
	nonce = make([]byte, nonceSize)
	binary.BigEndian.PutUint64(nonce[nonceSize-8:], s.next)
	return nonce, append([]byte(s.cluster), nonce...)
}

// seal appends the sealed message to out.
func (s *sealer) seal(out, message []byte) []byte {
	nonce, additional := s.parameters()
	s.next++
	return s.aead.Seal(out, nonce, message, additional)
}

func (s *sealer) open(sealed []byte) ([]byte, error) {
	nonce, additional := s.parameters()
	message, err := s.aead.Open(nil, nonce, sealed, additional)
	if err == nil {
		s.next++
	}
	return message, err
}
