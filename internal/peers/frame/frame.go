// Package frame carries messages over a stream in frames that are encrypted and authenticated with the keys of a fleet.
//
// A session begins with a hello from each side: a magic number and 32 random bytes. From the fleet's key, the cluster's
// name and both hellos each direction derives its own key (HKDF-SHA-256), which seals its frames with AES-GCM. The nonce is
// the frame's sequence number, and the additional data are the cluster's name and the nonce. So frames can't be replayed,
// reordered or left out within a session, replayed in another session, or accepted from another cluster.
//
// On the wire a frame is the length of the sealed message, as four bytes in big-endian order, and the sealed message.
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
	// MaxMessage is the size of the largest message.
	MaxMessage = 4 << 20
	// maxFirstMessage is the size of the largest first message of a session: before it is opened, the other side has not
	// shown that it has a key.
	maxFirstMessage = 4 << 10

	lengthSize = 4
	tagSize    = 16
	nonceSize  = 12
	randomSize = 32
	helloSize  = len(magic) + randomSize
)

// magic starts each hello. Its last byte is the version of the framing.
const magic = "CGF\x01"

// Labels for the key derivation of each direction.
const (
	toAcceptor = "to acceptor"
	toDialer   = "to dialer"
)

// Errors of a session. Each of them ends it.
var (
	ErrBadMagic     = errors.New("the other side uses another protocol or another version of the framing")
	ErrTooLarge     = errors.New("frame is larger than allowed")
	ErrNotAuthentic = errors.New("frame can't be decrypted: key or cluster differs, or frames were changed, repeated or left out")
)

// Config has the keys and cluster, which both sides must share, and the timeouts of this side.
type Config struct {
	Keys         [][]byte      // 16, 24 or 32 bytes each: the first seals, any opens
	Cluster      string        // sessions with another cluster fail
	Handshake    time.Duration // for both hellos and the other side's first frame
	ReadTimeout  time.Duration // a session that receives nothing for this long ends
	WriteTimeout time.Duration // for sending one frame
}

// Conn is one session. One goroutine may read while another writes. Any may call Close.
type Conn struct {
	conn          net.Conn
	cfg           Config
	startedAt     time.Time
	seal          *sealer
	openers       []*sealer // one for each key; after the first frame only the one whose key the other side seals with
	authenticated bool
	sent          atomic.Int64
	received      atomic.Int64
}

// Dial starts a session on a connection that this side has opened. On an error it closes the connection.
func Dial(conn net.Conn, cfg Config) (*Conn, error) { return handshake(conn, cfg, true) }

// Accept starts a session on a connection that the other side has opened. On an error it closes the connection.
func Accept(conn net.Conn, cfg Config) (*Conn, error) { return handshake(conn, cfg, false) }

func handshake(conn net.Conn, cfg Config, dialer bool) (*Conn, error) {
	c := &Conn{conn: conn, cfg: cfg, startedAt: time.Now()}
	own, other, err := c.exchangeHellos()
	if err == nil {
		err = c.deriveKeys(own, other, dialer)
	}
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return c, nil
}

// exchangeHellos sends this side's hello and reads the other's. Both fit into any socket buffer, so that neither side
// blocks until the other reads.
func (c *Conn) exchangeHellos() (own, other []byte, err error) {
	if err := c.conn.SetDeadline(c.startedAt.Add(c.cfg.Handshake)); err != nil {
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
		c.openers = append(c.openers, s)
	}
	return nil
}

// Write sends a message.
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

// Read waits for the next message. After an error the session is unusable.
func (c *Conn) Read() ([]byte, error) {
	deadline, maxMessage := time.Now().Add(c.cfg.ReadTimeout), MaxMessage
	if !c.authenticated {
		deadline, maxMessage = c.startedAt.Add(c.cfg.Handshake), maxFirstMessage
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
	case size > uint32(maxMessage+tagSize):
		return nil, fmt.Errorf("%w: %d bytes, and the limit is %d", ErrTooLarge, size, maxMessage+tagSize)
	}
	sealed := make([]byte, size)
	if _, err := io.ReadFull(c.conn, sealed); err != nil {
		return nil, err
	}
	c.received.Add(int64(lengthSize + len(sealed)))
	return c.open(sealed)
}

// open opens the next frame. It tries each key on the first frame of a session.
func (c *Conn) open(sealed []byte) ([]byte, error) {
	for _, s := range c.openers {
		message, err := s.open(sealed)
		if err != nil {
			continue
		}
		c.openers, c.authenticated = []*sealer{s}, true
		return message, nil
	}
	return nil, ErrNotAuthentic
}

// Sent returns the number of bytes sent.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Received returns the number of bytes received.
func (c *Conn) Received() int64 { return c.received.Load() }

// Close ends the session. Pending reads and writes return an error.
func (c *Conn) Close() error { return c.conn.Close() }

// sealer seals or opens the frames of one direction, in order.
type sealer struct {
	aead         cipher.AEAD
	cluster      string
	nextSequence uint64
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

// parameters returns the nonce and the additional data of the next frame.
func (s *sealer) parameters() (nonce, additional []byte) {
	nonce = make([]byte, nonceSize)
	binary.BigEndian.PutUint64(nonce[nonceSize-8:], s.nextSequence)
	return nonce, append([]byte(s.cluster), nonce...)
}

// seal appends the sealed message to out.
func (s *sealer) seal(out, message []byte) []byte {
	nonce, additional := s.parameters()
	s.nextSequence++
	return s.aead.Seal(out, nonce, message, additional)
}

func (s *sealer) open(sealed []byte) ([]byte, error) {
	nonce, additional := s.parameters()
	message, err := s.aead.Open(nil, nonce, sealed, additional)
	if err == nil {
		s.nextSequence++
	}
	return message, err
}
