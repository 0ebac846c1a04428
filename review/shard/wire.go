// Command shard plays the stores, discovery and the clients of two fronts on loopback addresses, and checks the users'
// rules on what the stores ran and on what the clients were told. The first argument names the play.
package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"time"
)

// message is one message of PostgreSQL's protocol.
type message struct {
	kind byte
	body []byte
}

func readMessage(r *bufio.Reader) (message, error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		return message{}, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > 1<<20 {
		return message{}, errors.New("length out of range")
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return message{head[0], body}, err
}

func appendMessage(dst []byte, kind byte, body []byte) []byte {
	dst = append(dst, kind)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

func appendReady(dst []byte) []byte { return appendMessage(dst, 'Z', []byte("I")) }

func appendParameter(dst []byte, name, value string) []byte {
	return appendMessage(dst, 'S', []byte(name+"\x00"+value+"\x00"))
}

func appendError(dst []byte, code, text string) []byte {
	return appendMessage(dst, 'E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

// appendRow appends a value as RowDescription, DataRow and CommandComplete.
func appendRow(dst []byte, value, tag string) []byte {
	column := append([]byte{0, 1}, "payload\x00"...)
	column = append(column, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	dst = appendMessage(dst, 'T', column)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	dst = appendMessage(dst, 'D', append(row, value...))
	return appendMessage(dst, 'C', []byte(tag+"\x00"))
}

func appendQuery(dst []byte, text string) []byte {
	return appendMessage(dst, 'Q', append([]byte(text), 0))
}

func startup(user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	body = append(body, "user\x00"+user+"\x00database\x00"+database+"\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// clientConn is a client's connection that has logged on.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	k := &clientConn{c, bufio.NewReader(c)}
	if _, err = c.Write(startup("web", "orders")); err == nil {
		var a answer
		if a, err = k.answer(time.Now().Add(3 * time.Second)); err == nil && a.code != "" {
			err = errors.New(a.code)
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return k, nil
}

// answer is what a client was told.
type answer struct {
	value string
	code  string // SQLSTATE of an error; empty if a value came
	text  string // text of that error
	empty bool   // EmptyQueryResponse
	fatal bool   // the front ends the connection
}

// refused reports whether the client was told that trying again is harmless.
func (a answer) refused() bool { return a.code == "53300" || a.code == "57P03" }

// answer reads up to the next ReadyForQuery, or a fatal error.
func (k *clientConn) answer(until time.Time) (a answer, err error) {
	k.SetReadDeadline(until)
	for {
		m, err := readMessage(k.in)
		if err != nil {
			return a, err
		}
		switch m.kind {
		case 'D':
			if len(m.body) < 6 {
				return a, errors.New("short row")
			}
			a.value = string(m.body[6:])
		case 'I':
			a.empty = true
		case 'E':
			for _, field := range strings.Split(string(m.body), "\x00") {
				switch {
				case strings.HasPrefix(field, "C"):
					a.code = field[1:]
				case strings.HasPrefix(field, "M"):
					a.text = field[1:]
				case field == "SFATAL":
					a.fatal = true
				}
			}
			if a.fatal {
				return a, nil
			}
		case 'Z':
			return a, nil
		}
	}
}

// terms returns the names and values of a statement's comment, and its first quoted text.
func terms(text string) (t map[string]string, ref string) {
	t = map[string]string{}
	if _, rest, ok := strings.Cut(text, "/*"); ok {
		comment, statement, _ := strings.Cut(rest, "*/")
		for _, pair := range strings.Split(strings.TrimSpace(comment), ",") {
			name, value, _ := strings.Cut(pair, "=")
			t[name] = value
		}
		if parts := strings.SplitN(statement, "'", 3); len(parts) == 3 {
			ref = parts[1]
		}
	}
	return t, ref
}
