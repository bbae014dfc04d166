package crowd

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The crowds and bounds were fixed before the product was changed for them.
var (
	// For what fills memory: more descriptors than the crowd needs.
	memoryLimits = limits{memoryMB: 96, descriptors: 1024}
	// For what takes connections: fewer descriptors than the crowd wants.
	connectionLimits = limits{memoryMB: 96, descriptors: 300}
)

const (
	bodyCrowd       = 400 // connections with bodies of bodyBytes
	messageCrowd    = 150 // connections with messages of messageBytes
	connectionCrowd = 450 // connections that send little
	stepsCrowd      = 60  // whole bodies of many empty steps
	wholeEvery      = 8   // one body in so many is whole
	largeChunk      = 64 << 10
	pieceSize       = 8 << 10
	piecePause      = 5 * time.Millisecond
)

// place is an interface of the process that a crowd calls.
type place struct {
	address string
	host    string
	path    func(number int) string
	body    []byte
}

func (g *target) atFront() place {
	return place{
		address: g.front, host: "jobs.example", body: jobBody(bodyBytes),
		path: func(number int) string { return fmt.Sprintf("/plain/%016x", 0xabc000+number) },
	}
}

// atExchange is the interface between processes. Its messages ask for the state of a job and
// have a field of text that no message has, so that they are read and decoded whole.
func (g *target) atExchange() place {
	return place{
		address: g.exchange, host: g.exchange, body: unknownField(messageBytes),
		path: func(int) string { return "/state" },
	}
}

// jobBody returns a job that is padded to a size.
func jobBody(size int) []byte {
	text := `{"spec":"large","steps":[{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":50}]`
	return []byte(text + strings.Repeat(" ", size-len(text)-1) + "}")
}

// unknownField returns a message with one text field of number 1000.
func unknownField(size int) []byte {
	const overhead = 5 // of the tag and of the length of a field of that size
	b := []byte{0xc2, 0x3e}
	n := size - overhead
	b = append(b, byte(n)|0x80, byte(n>>7)|0x80, byte(n>>14))
	return append(b, bytes.Repeat([]byte{'x'}, size-len(b))...)
}

// short returns how much of a body a client sends: one byte less than the whole for most.
func short(number int, body []byte) []byte {
	if number%wholeEvery == 0 {
		return body
	}
	return body[:len(body)-1]
}

func (g *target) wholeBodies(p place, count int) {
	g.gather(p.address, count, func(i int, c *client) {
		c.write(append(head(http.MethodPost, p.host, p.path(i), len(p.body)), short(i, p.body)...))
	})
}

func (g *target) pieces(p place, count int) {
	g.gather(p.address, count, func(i int, c *client) {
		c.write(head(http.MethodPost, p.host, p.path(i), len(p.body)))
		c.writePieces(short(i, p.body), pieceSize, piecePause)
	})
}

// chunks sends bodies in chunks of a size that stop before their last byte.
func (g *target) chunks(p place, count, size int) {
	const end = "0\r\n\r\n"
	encoded := chunked(p.body, size)
	g.gather(p.address, count, func(i int, c *client) {
		c.write(head(http.MethodPost, p.host, p.path(i), -1))
		c.writePieces(short(i, append(encoded[:len(encoded):len(encoded)], end...)), largeChunk, 0)
	})
}

// headers sends headers of 64 KB that do not end.
func (g *target) headers(address string, count int) {
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	g.gather(address, count, func(_ int, c *client) {
		c.write([]byte("GET / HTTP/1.1\r\nHost: jobs.example\r\n"))
		c.writePieces([]byte(strings.Repeat(line, 64)), pieceSize, piecePause)
	})
}

// silent sends nothing on most connections and one whole call on the others.
func (g *target) silent(address, call string, count int) {
	g.gather(address, count, func(i int, c *client) {
		if i%2 == 0 {
			c.write([]byte(call))
		}
	})
}

// unread sends the same call again and again and reads no answer.
func (g *target) unread(address, call string, calls, count int) {
	g.gather(address, count, func(_ int, c *client) {
		if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			g.Error(err)
		}
		c.writePieces([]byte(strings.Repeat(call, calls)), largeChunk, 0)
	})
}

const waitingCall = "GET /plain/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

// stateCall asks the interface between processes for a job that nobody knows.
const stateCall = "POST /state HTTP/1.1\r\nHost: e0\r\nContent-Length: 0\r\n\r\n"

const (
	readinessCall = "GET /-/readiness HTTP/1.1\r\nHost: e0\r\n\r\n"
	metricsCall   = "GET /metrics HTTP/1.1\r\nHost: e0\r\n\r\n"
)

func TestWholeBodiesAtFront(t *testing.T) {
	g := start(t, memoryLimits)
	g.wholeBodies(g.atFront(), bodyCrowd)
	g.judge()
}

func TestPiecesAtFront(t *testing.T) {
	g := start(t, memoryLimits)
	g.pieces(g.atFront(), bodyCrowd)
	g.judge()
}

func TestLargeChunksAtFront(t *testing.T) {
	g := start(t, memoryLimits)
	g.chunks(g.atFront(), bodyCrowd, largeChunk)
	g.judge()
}

func TestChunksOfAByteAtFront(t *testing.T) {
	g := start(t, memoryLimits)
	g.chunks(g.atFront(), bodyCrowd, 1)
	g.judge()
}

// Bodies of legal size that decode to many times their size.
func TestBodiesOfManyStepsAtFront(t *testing.T) {
	g := start(t, memoryLimits)
	p := g.atFront()
	p.body = []byte(`{"steps":[{}` + strings.Repeat(",{}", (bodyBytes-20)/3) + "]}")
	g.gather(p.address, stepsCrowd, func(i int, c *client) {
		c.write(append(head(http.MethodPost, p.host, p.path(i), len(p.body)), p.body...))
	})
	g.judge()
}

func TestHeadersAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.headers(g.front, connectionCrowd)
	g.judge()
}

func TestSilentConnectionsAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.silent(g.front, waitingCall, connectionCrowd)
	g.judge()
}

func TestPipelinedCallsAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	body := jobBody(600)
	g.gather(g.front, connectionCrowd, func(i int, c *client) {
		var calls bytes.Buffer
		for range 20 {
			calls.Write(head(http.MethodPost, "jobs.example", g.atFront().path(i), len(body)))
			calls.Write(body)
		}
		c.write(calls.Bytes()[:calls.Len()-1])
	})
	g.judge()
}

func TestUnreadAnswersAtFront(t *testing.T) {
	g := start(t, connectionLimits)
	g.unread(g.front, waitingCall, 2000, connectionCrowd)
	g.judge()
}

func TestWholeBodiesBetweenProcesses(t *testing.T) {
	g := start(t, memoryLimits)
	g.wholeBodies(g.atExchange(), messageCrowd)
	g.judge()
}

func TestPiecesBetweenProcesses(t *testing.T) {
	g := start(t, memoryLimits)
	g.pieces(g.atExchange(), messageCrowd)
	g.judge()
}

func TestLargeChunksBetweenProcesses(t *testing.T) {
	g := start(t, memoryLimits)
	g.chunks(g.atExchange(), messageCrowd, largeChunk)
	g.judge()
}

func TestChunksOfAByteBetweenProcesses(t *testing.T) {
	g := start(t, memoryLimits)
	g.chunks(g.atExchange(), messageCrowd, 1)
	g.judge()
}

// Messages of legal size that decode to many times their size: jobs with steps of nothing.
func TestMessagesOfManyStepsBetweenProcesses(t *testing.T) {
	g := start(t, memoryLimits)
	p := g.atExchange()
	p.body = manySteps()
	p.path = func(int) string { return "/submit" }
	g.gather(p.address, stepsCrowd, func(i int, c *client) {
		c.write(append(head(http.MethodPost, p.host, p.path(i), len(p.body)), p.body...))
	})
	g.judge()
}

// A submission that names no job.
func TestNoJobBetweenProcesses(t *testing.T) {
	g := start(t, memoryLimits)
	p := g.atExchange()
	g.gather(p.address, 1, func(_ int, c *client) {
		c.write(append(head(http.MethodPost, p.host, "/submit", len(p.body)), p.body...))
	})
	g.judge()
}

// Submissions with values that no caller can send, one after another.
func TestImplausibleJobsBetweenProcesses(t *testing.T) {
	g := start(t, memoryLimits)
	p := g.atExchange()
	for name, body := range implausibleJobs(t) {
		t.Log(name)
		g.gather(p.address, 1, func(_ int, c *client) {
			c.write(append(head(http.MethodPost, p.host, "/submit", len(body)), body...))
		})
		g.judge()
	}
}

func TestHeadersBetweenProcesses(t *testing.T) {
	g := start(t, connectionLimits)
	g.headers(g.exchange, connectionCrowd)
	g.judge()
}

func TestSilentConnectionsBetweenProcesses(t *testing.T) {
	g := start(t, connectionLimits)
	g.silent(g.exchange, stateCall, connectionCrowd)
	g.judge()
}

func TestUnreadAnswersBetweenProcesses(t *testing.T) {
	g := start(t, connectionLimits)
	g.unread(g.exchange, stateCall, 2000, connectionCrowd)
	g.judge()
}

// atReadiness has bodies although its calls have none.
func (g *target) atReadiness() place {
	return place{
		address: g.ready, host: "e0", body: bytes.Repeat([]byte{' '}, messageBytes),
		path: func(int) string { return "/-/readiness" },
	}
}

func TestWholeBodiesAtReadiness(t *testing.T) {
	g := start(t, memoryLimits)
	g.wholeBodies(g.atReadiness(), messageCrowd)
	g.judge()
}

func TestChunksOfAByteAtReadiness(t *testing.T) {
	g := start(t, memoryLimits)
	g.chunks(g.atReadiness(), messageCrowd, 1)
	g.judge()
}

func TestPipelinedCallsBetweenProcesses(t *testing.T) {
	g := start(t, connectionLimits)
	g.gather(g.exchange, connectionCrowd, func(_ int, c *client) { c.write([]byte(strings.Repeat(stateCall, 20) + stateCall[:20])) })
	g.judge()
}

func TestHeadersAtReadiness(t *testing.T) {
	g := start(t, connectionLimits)
	g.headers(g.ready, connectionCrowd)
	g.judge()
}

func TestSilentConnectionsAtReadiness(t *testing.T) {
	g := start(t, connectionLimits)
	g.silent(g.ready, readinessCall, connectionCrowd)
	g.judge()
}

func TestUnreadAnswersAtReadiness(t *testing.T) {
	g := start(t, connectionLimits)
	g.unread(g.ready, metricsCall, 40, connectionCrowd)
	g.judge()
}

// One call of the largest legal size is served in calm, however it is sent.
func TestLargestBodyInCalm(t *testing.T) {
	g := start(t, memoryLimits)
	p := g.atFront()
	for i, send := range []func(c *client){
		func(c *client) { c.write(append(head(http.MethodPost, p.host, p.path(0), len(p.body)), p.body...)) },
		func(c *client) {
			c.write(head(http.MethodPost, p.host, p.path(1), len(p.body)))
			c.writePieces(p.body, pieceSize, 20*time.Millisecond)
		},
		func(c *client) {
			c.write(head(http.MethodPost, p.host, p.path(2), -1))
			c.write(append(chunked(p.body, largeChunk), "0\r\n\r\n"...))
		},
		func(c *client) {
			c.write(head(http.MethodPost, p.host, p.path(3), -1))
			c.write(append(chunked(p.body, 1), "0\r\n\r\n"...))
		},
	} {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		send(&client{Conn: conn})
		status, err := answerOf(conn)
		if err != nil || status != http.StatusOK {
			t.Errorf("way %d: answered %d, %v, want 200", i, status, err)
		}
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
	g.judge()
}
