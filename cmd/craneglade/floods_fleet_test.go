package main

import (
	"net"
	"sync"
	"time"
)

// fleetDatagramBytes is the size of a datagram that no node has encrypted.
const fleetDatagramBytes = 200

// fleetFloods are floods of the address at which a node listens for other nodes, from clients without its key.
var fleetFloods = map[string]func(addr string, end time.Time) (wait func()){
	"datagrams of no node": func(addr string, end time.Time) (wait func()) {
		return startClients(1, end, func(datagram []byte) {
			c, err := net.Dial("udp", addr)
			if err != nil {
				return
			}
			defer c.Close()
			for time.Now().Before(end) {
				c.Write(datagram) // one that is dropped does not matter
			}
		})
	},
	"streams of no node": func(addr string, end time.Time) (wait func()) {
		return startClients(floodingClients, end, func(datagram []byte) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetDeadline(end)
			for err == nil {
				_, err = c.Write(datagram)
			}
		})
	},
}

// startClients lets a number of clients flood again and again until end. The returned function waits for them.
func startClients(count int, end time.Time, flood func(datagram []byte)) (wait func()) {
	var clients sync.WaitGroup
	for range count {
		clients.Go(func() {
			datagram := make([]byte, fleetDatagramBytes)
			for i := range datagram {
				datagram[i] = byte(i)
			}
			for time.Now().Before(end) {
				flood(datagram)
			}
		})
	}
	return clients.Wait
}
