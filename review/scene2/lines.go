package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// legalHead is the size of a head below maxHeaderBytes of the configuration, 16384.
	legalHead = 16000
	// lineRequests are sent one after the other, lineInterval apart, each beside
	// ordinaryPerLine ordinary ones.
	lineRequests    = 40
	lineInterval    = 200 * time.Millisecond
	ordinaryPerLine = 5
	lineDeadline    = 1200 * time.Millisecond
	lineTargets     = 6
	lineWork        = 60 * time.Millisecond
	// deniedExtra and deniedShare bound the proper requests that VMs may deny.
	deniedExtra = 5
	deniedShare = 1.0 / 500
)

// manyLines checks that requests of legal size whose head has very many short lines are
// served in calm.
func manyLines(w *world) (string, error) {
	if err := w.startDesk(wire.Route{Name: "read", Prefix: "/read/"}, lineTargets, lineWork, lineDeadline, runLog{w}); err != nil {
		return "", err
	}
	time.Sleep(contact)
	client := newCaller(false)
	sent, denied, refused, served := 0, 0, 0, 0
	for i := range lineRequests {
		v := w.vms[i%len(w.vms)]
		id := fmt.Sprint("lines-", i)
		head := lineHead(id, w.trouble, i)
		a := sendRaw(v.callers, head)
		w.note("request %s with a head of %d bytes in %d lines to %s: %s, a target's: %v", id, len(head), bytes.Count(head, []byte("\n")), v.name, a, a.stamped)
		sent++
		switch {
		case a.status == http.StatusOK && a.stamped:
			served++
		case a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429:
			denied++
		default:
			refused++
		}
		for j := range ordinaryPerLine {
			id := fmt.Sprintf("ordinary-%d-%d", i, j)
			w.note("ordinary %s: %s", id, send(client, v, "/read/"+id, id, lineDeadline))
			sent++
		}
		time.Sleep(lineInterval)
	}
	bound := deniedExtra + deniedShare*float64(sent)
	w.note("of %d requests with many lines %d were served, %d denied with a 4xx, %d not answered or refused otherwise; of all %d requests %.1f may be denied",
		lineRequests, served, denied, refused, sent, bound)
	if float64(denied) > bound {
		return fmt.Sprintf("%d proper requests of %d were denied, more than %.1f", denied, sent, bound), nil
	}
	return "", nil
}

// lineHead returns a request without a body whose head has legalHead bytes, in very
// many short lines or in a few long ones.
func lineHead(id string, many bool, i int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "GET /read/%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", id, wire.Host)
	_ = wire.RequestHeader(id, lineDeadline, 0).Write(&b) // a bytes.Buffer returns no error
	for n := 0; b.Len() < legalHead-20; n++ {
		switch {
		case !many:
			fmt.Fprintf(&b, "x-%d: %s\r\n", n, strings.Repeat("v", min(1000, max(1, legalHead-20-b.Len()-10))))
		case i%2 == 0:
			b.WriteString("a: b\r\n")
		default:
			fmt.Fprintf(&b, "x%x: b\r\n", n)
		}
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// sendRaw sends a request on a connection of its own.
func sendRaw(address string, request []byte) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(lineDeadline)); err != nil {
		return answer{err: err}
	}
	if _, err := c.Write(request); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := bufio.NewReader(res.Body).WriteTo(discard{}); err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, stamped: wire.Stamp(res.Header) != ""}
}
