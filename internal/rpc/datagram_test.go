package rpc

import (
	"net"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type datagram struct {
	from netip.AddrPort
	kind Kind
	body string
}

func TestDatagrams(t *testing.T) {
	is := is.New(t)
	got := make(chan datagram, 10)
	a, err := ListenDatagrams("127.0.0.1:0", func(from netip.AddrPort, kind Kind, body []byte) {
		got <- datagram{from, kind, string(body)}
	})
	is.NoErr(err)
	b, err := ListenDatagrams("127.0.0.1:0", func(netip.AddrPort, Kind, []byte) {})
	is.NoErr(err)
	is.NoErr(b.Send(a.Addr(), 300, []byte("digest")))
	is.Equal(<-got, datagram{netip.MustParseAddrPort(b.Addr()), 300, "digest"})
	is.True(errors.Is(b.Send(a.Addr(), 1, make([]byte, MaxDatagram+1)), ErrTooLong))
	is.True(errors.Is(b.Send("nowhere", 1, nil), ErrNotSent))

	sender, err := net.Dial("udp", a.Addr())
	is.NoErr(err)
	_, err = sender.Write([]byte("something else entirely"))
	is.NoErr(err)
	is.NoErr(b.Send(a.Addr(), 5, make([]byte, MaxDatagram)))
	is.Equal((<-got).kind, Kind(5))
	is.Equal(a.InvalidDatagrams(), uint64(1))
	is.NoErr(a.Close())
	is.NoErr(a.Close())
	is.NoErr(b.Close())
}

func FuzzParseDatagram(f *testing.F) {
	f.Add([]byte(datagramMagic + "\x00\x00\x00\x00\x01\x00abc"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, body, ok := parseDatagram(b); ok && len(body) != len(b)-datagramHeaderSize {
			t.Fatal("body of another length")
		}
	})
}
