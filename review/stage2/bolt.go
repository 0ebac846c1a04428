package stage2

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"micatrack/internal/bolt"
)

// BoltClient is a client's connection that speaks Bolt 5.0.
type BoltClient struct {
	net.Conn
	in     []byte
	reader bolt.Reader
}

// DialBolt opens a connection and logs on.
func DialBolt(addr string) (*BoltClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &BoltClient{Conn: conn, reader: bolt.Reader{MaxSize: 1 << 20}}
	hello := binary.BigEndian.AppendUint32(nil, bolt.Magic)
	hello = bolt.AppendVersion(hello, bolt.MakeVersion(5, 0))
	hello = append(hello, make([]byte, 12)...)
	if _, err = c.Write(hello); err == nil {
		_, err = io.ReadFull(c, make([]byte, 4))
	}
	if err == nil {
		if a := c.Ask(Message(bolt.Hello, 1, func(b []byte) []byte {
			return bolt.AppendPair(bolt.AppendPair(bolt.AppendMap(b, 2), "user_agent", "review/2"), "scheme", "none")
		})); a.Code != "" || a.Err != nil {
			err = fmt.Errorf("logon: %v", a)
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Message returns a message with so many fields.
func Message(kind bolt.MessageType, n int, fields func(b []byte) []byte) []byte {
	b, at := bolt.BeginMessage(nil)
	b = bolt.AppendStruct(b, byte(kind), n)
	if fields != nil {
		b = fields(b)
	}
	return bolt.EndMessage(b, at)
}

// extra appends what a RUN or BEGIN says of its request. In a keyed class its key is made of its id.
func extra(b []byte, id, class string, limitMS int) []byte {
	b = bolt.AppendMap(b, 2)
	b = bolt.AppendInt(bolt.AppendString(b, "tx_timeout"), int64(limitMS))
	if b = bolt.AppendString(b, "tx_metadata"); class == KeyedClass {
		b = bolt.AppendPair(bolt.AppendMap(b, 4), "k", "key-"+id)
	} else {
		b = bolt.AppendMap(b, 3)
	}
	b = bolt.AppendPair(bolt.AppendPair(b, "id", id), "c", class)
	return bolt.AppendInt(bolt.AppendString(b, "cluster"), 1)
}

// KeyedClass is the class whose requests over Bolt carry a key.
const KeyedClass = "pedido"

// Begin returns a BEGIN.
func Begin(id, class string, limitMS int) []byte {
	return Message(bolt.BeginTx, 1, func(b []byte) []byte { return extra(b, id, class, limitMS) })
}

// AutoRun returns a RUN outside a transaction.
func AutoRun(id, class, query string, limitMS int) []byte {
	return Message(bolt.Run, 3, func(b []byte) []byte {
		return extra(bolt.AppendMap(bolt.AppendString(b, query), 0), id, class, limitMS)
	})
}

// TxRun returns a RUN inside a transaction.
func TxRun(query string) []byte {
	return Message(bolt.Run, 3, func(b []byte) []byte { return bolt.AppendMap(bolt.AppendMap(bolt.AppendString(b, query), 0), 0) })
}

// PullAll returns a PULL for all records.
func PullAll() []byte {
	return Message(bolt.Pull, 1, func(b []byte) []byte { return bolt.AppendInt(bolt.AppendString(bolt.AppendMap(b, 1), "n"), -1) })
}

// Ask sends a message and returns the answer up to its summary. Value is that of the last record.
func (c *BoltClient) Ask(message []byte) Answer {
	if _, err := c.Write(message); err != nil {
		return Answer{Err: err, At: time.Now()}
	}
	return c.Answer()
}

// Answer reads one answer up to its summary.
func (c *BoltClient) Answer() (a Answer) {
	buf := make([]byte, 16<<10)
	for {
		body, n, err := c.reader.Next(c.in)
		if err == nil && n == 0 {
			var got int
			got, err = c.Read(buf)
			c.in = append(c.in, buf[:got]...)
			if err == nil {
				continue
			}
		}
		a.At = time.Now()
		if err != nil {
			a.Err = err
			return a
		}
		if len(body) > 0 {
			var m bolt.Response
			if m, err = bolt.ReadResponse(body); err != nil {
				a.Err = err
				return a
			}
			fields, kind := append([]byte(nil), m.Fields...), m.Type
			a.Code = string(m.Code)
			c.in = c.in[:copy(c.in, c.in[n:])]
			switch kind {
			case bolt.Record:
				v := bolt.NewDecoder(fields)
				if v.List() == 1 && v.Kind() == bolt.String {
					a.Value = string(v.String())
				}
				continue
			case bolt.Ignored:
				a.Code = "ignored"
			}
			return a
		}
		c.in = c.in[:copy(c.in, c.in[n:])]
	}
}
