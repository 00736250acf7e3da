package netfault

import "net"

func dialer(localIP string) *net.Dialer {
	d := &net.Dialer{}
	if ip := net.ParseIP(localIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}
