package bench

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	clockTicks    = 100 // per second, in /proc/PID/stat
	measureTime   = 10 * time.Second
	pushInterval  = 5 * time.Millisecond // between the datagrams that bring the list
	protocolByte  = 1                    // of membership datagrams
	announcePause = 30 * time.Second     // until the node has passed on its first events
)

// process is a node process whose fleet is played by one UDP socket.
type process struct {
	b     *testing.B
	cmd   *exec.Cmd
	admin string
	node  *net.UDPAddr
	conn  *net.UDPConn
	sent  atomic.Int64 // datagram bytes that the node sent
}

// freePorts returns n free ports of the loopback interface.
func freePorts(b *testing.B, n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// startProcess builds and starts a node in a region of its own, so that it does
// not declare the members dead that are played here.
func startProcess(b *testing.B) *process {
	dir := b.TempDir()
	bin := filepath.Join(dir, "dogwoodhatch-node")
	if out, err := exec.Command("go", "build", "-o", bin, "../apps/dogwoodhatch-node").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero})
	if err != nil {
		b.Fatal(err)
	}
	_ = conn.SetReadBuffer(1 << 20)
	ports := freePorts(b, 4)
	settings := fmt.Sprintf(`[node]
id = measured
region = region-alone
failure_domain = region-alone-0
[listen]
outside = 127.0.0.1:%d
local = 127.0.0.1:%d
peer = 127.0.0.1:%d
gossip = 127.0.0.1:%d
admin = 127.0.0.1:%d
[log]
path = %s
level = warn
`, ports[0], ports[1], ports[2], ports[2], ports[3], filepath.Join(dir, "node.log"))
	path := filepath.Join(dir, "node.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		b.Fatal(err)
	}
	p := &process{
		b: b, conn: conn, admin: fmt.Sprintf("http://127.0.0.1:%d", ports[3]),
		node: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: ports[2]},
		cmd:  exec.Command(bin, "--config", path),
	}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(p.stop)
	go p.answer()
	for p.metric("control_busy_us") == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	return p
}

func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	_ = p.conn.Close()
}

// answer answers the probes of the node in the place of all members.
func (p *process) answer() {
	buf := make([]byte, 4096)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p.sent.Add(int64(n))
		ping := &wire.GossipPacket{}
		if n == 0 || buf[0] != protocolByte || proto.Unmarshal(buf[1:n], ping) != nil || ping.Kind != wire.PacketKind_PACKET_KIND_PING {
			continue
		}
		p.send(from, &wire.GossipPacket{
			Kind: wire.PacketKind_PACKET_KIND_ACK, From: ping.TargetId, TargetId: ping.TargetId, Sequence: ping.Sequence,
		})
	}
}

func (p *process) send(to *net.UDPAddr, msg *wire.GossipPacket) {
	payload, err := proto.Marshal(msg)
	if err != nil {
		p.b.Error(err)
		return
	}
	_, _ = p.conn.WriteToUDP(append([]byte{protocolByte}, payload...), to)
}

// push sends the records of some members, at the given incarnation and state.
func (p *process) push(from, to int, incarnation uint64) {
	msg := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_PUSH, From: record(from).Id}
	port := p.conn.LocalAddr().(*net.UDPAddr).Port
	for i := from; i < to; i++ {
		r := record(i)
		r.Addr = []byte{127, 1, byte(i >> 8), byte(i), byte(port), byte(port >> 8)}
		r.Incarnation = incarnation
		msg.Events = append(msg.Events, r)
	}
	p.send(p.node, msg)
}

// fill makes the node know n members.
func (p *process) fill(n int) {
	for i := 0; i < n; i += eventsPerMsg {
		p.push(i, min(i+eventsPerMsg, n), 2)
		time.Sleep(pushInterval)
	}
}

func (p *process) metric(name string) float64 {
	resp, err := http.Get(p.admin + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	found := regexp.MustCompile(`(?m)^dogwoodhatch_` + name + ` (\S+)$`).FindSubmatch(body)
	if found == nil {
		return 0
	}
	value, _ := strconv.ParseFloat(string(found[1]), 64)
	return value
}

// processor returns the processor time of the process in seconds.
func (p *process) processor() float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / clockTicks
}

// resident returns a field of /proc/PID/status in MB.
func (p *process) resident(field string) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.b.Fatal(err)
	}
	found := regexp.MustCompile(field + `:\s+(\d+) kB`).FindSubmatch(status)
	kb, _ := strconv.Atoi(string(found[1]))
	return float64(kb) / 1024
}

// BenchmarkProcess is a node process that knows all members, by the number of
// members that change each second. It reports the processor time of the process
// and of its control goroutine in percent of a core, and its resident memory.
func BenchmarkProcess(b *testing.B) {
	for _, n := range []int{400, 3000, 30000} {
		p := startProcess(b)
		p.fill(n)
		b.Logf("members=%d after filling: resident %.1f MB, most %.1f MB", n, p.resident("VmRSS"), p.resident("VmHWM"))
		time.Sleep(announcePause)
		incarnation := uint64(3)
		for _, rate := range []int{0, 1, 20} {
			b.Run(fmt.Sprintf("members=%d/changes=%d", n, rate), func(b *testing.B) {
				for b.Loop() {
					p.observe(b, n, rate, incarnation)
				}
			})
			incarnation++
		}
		p.stop()
	}
}

// observe measures while the given number of members change each second.
func (p *process) observe(b *testing.B, n, rate int, incarnation uint64) {
	cpu, busy, sent, began := p.processor(), p.metric("control_busy_us"), p.sent.Load(), time.Now()
	dropped := p.metric("control_datagrams_dropped")
	for i := 0; time.Since(began) < measureTime; i++ {
		if rate == 0 {
			time.Sleep(measureTime)
			break
		}
		p.push(i%n, i%n+1, incarnation)
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
	}
	took := time.Since(began).Seconds()
	b.ReportMetric(100*(p.processor()-cpu)/took, "cpu-%")
	b.ReportMetric((p.metric("control_busy_us")-busy)/took/1e4, "control-%")
	b.ReportMetric(p.resident("VmRSS"), "resident-MB")
	b.ReportMetric(p.resident("VmHWM"), "most-MB")
	b.ReportMetric(float64(p.sent.Load()-sent)/took, "sent-B/s")
	b.ReportMetric(p.metric("control_datagrams_dropped")-dropped, "dropped")
}
