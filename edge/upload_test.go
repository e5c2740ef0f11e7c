package edge

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/bodybudget"
)

const uploadBytes = 60 << 10

// refuse answers 503 without reading the body.
func refuse(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

// storeBody reads the body and answers with its length.
func storeBody(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), testTimeout)
	defer cancel()
	body, err := Body(ctx, r)
	switch {
	case err == nil:
		fmt.Fprint(w, len(body))
	case !WriteBodyError(w, err):
		panic(http.ErrAbortHandler)
	}
}

// Guards against a body that is asked for although its request is refused. A caller that
// waits for 100 Continue must get the refusal instead, and a clean end of the connection,
// since the server can't know whether it will still send the body.
func TestRefusalWithExpect(t *testing.T) {
	_, addr := startServer(t, DefaultServerOptions(), refuse)
	conn, br := dial(t, addr)
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", uploadBytes)
	resp, _ := readAnswer(t, br)
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, closing %t; want 503 and the end of the connection", resp.StatusCode, resp.Close)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the refusal: %v, want the end of the connection", err)
	}
}

// Guards against bodies that are read although their request is refused: the answer must
// come before the body. Pipelined requests behind a small refused body must be answered,
// and a large one must end the connection without destroying the answer.
func TestRefusalWithoutExpect(t *testing.T) {
	_, addr := startServer(t, DefaultServerOptions(), refuse)
	t.Run("answer before the body", func(t *testing.T) {
		conn, br := dial(t, addr)
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)
		resp, _ := readAnswer(t, br)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Close {
			t.Errorf("status %d, closing %t; want 503 on an open connection", resp.StatusCode, resp.Close)
		}
	})
	for name, head := range map[string]string{
		"pipelined":         fmt.Sprintf("Content-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes)),
		"pipelined chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", uploadBytes, strings.Repeat("x", uploadBytes)),
	} {
		t.Run(name, func(t *testing.T) {
			conn, br := dial(t, addr)
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\n%sGET /next HTTP/1.1\r\nHost: a\r\n\r\n", head)
			for i := range 2 {
				if resp, _ := readAnswer(t, br); resp.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("answer %d has status %d", i, resp.StatusCode)
				}
			}
		})
	}
	t.Run("large", func(t *testing.T) {
		conn, br := dial(t, addr)
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 64<<20)
		go io.Copy(conn, bytes.NewReader(make([]byte, 64<<20)))
		if resp, _ := readAnswer(t, br); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("status %d, closing %t; want 503 and the end of the connection", resp.StatusCode, resp.Close)
		}
	})
}

// uploads sends n uploads at once, each in two halves with a pause, and returns the
// numbers of answers by status.
func uploads(t *testing.T, addr string, n int, pause time.Duration) map[int]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	half := bytes.Repeat([]byte("x"), uploadBytes/2)
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(6 * testTimeout))
			go func() {
				fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)
				conn.Write(half)
				time.Sleep(pause)
				conn.Write(half)
			}()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			statuses[resp.StatusCode]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	return statuses
}

// Guards against memory that grows with the number of slow uploads: 1,000 of 60 KB under a
// budget of 4 MB. All must be answered, as run or as refused, and the budget be free
// afterwards.
func TestSlowUploadsStayWithinTheBudget(t *testing.T) {
	const limit = 4 << 20
	opts := DefaultServerOptions()
	opts.Bodies = bodybudget.New(limit)
	var held, highest atomic.Int64
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), 6*testTimeout)
		defer cancel()
		body, err := Body(ctx, r)
		if err != nil {
			if !WriteBodyError(w, err) {
				panic(http.ErrAbortHandler)
			}
			return
		}
		for n := held.Add(int64(len(body))); ; {
			if old := highest.Load(); n <= old || highest.CompareAndSwap(old, n) {
				break
			}
		}
		time.Sleep(5 * time.Millisecond)
		held.Add(-int64(len(body)))
		fmt.Fprint(w, len(body))
	})
	statuses := uploads(t, addr, 1000, 20*time.Millisecond)
	t.Logf("answers by status %v, at most %d bytes of bodies held", statuses, highest.Load())
	if n := statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]; n != 1000 || statuses[http.StatusOK] == 0 {
		t.Errorf("answers by status %v", statuses)
	}
	if highest.Load() > limit {
		t.Errorf("%d bytes of bodies were held, the budget is %d", highest.Load(), limit)
	}
	awaitRoom(t, opts.Bodies)
}

func awaitRoom(t *testing.T, b *bodybudget.Budget) {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.Status().Used != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", b.Status().Used)
		}
	}
}

// Guards against a body that is read although there is no room for it: flow control must
// hold the caller back until another body is done. Requests with small bodies are served
// meanwhile.
func TestFullBudgetHoldsUploadsBack(t *testing.T) {
	opts := DefaultServerOptions()
	opts.Bodies = bodybudget.New(2 * uploadBytes) // room for one
	release := make(chan struct{})
	entered := make(chan struct{}, 2)
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		body, err := Body(r.Context(), r)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if len(body) == uploadBytes {
			entered <- struct{}{}
			<-release
		}
		fmt.Fprint(w, len(body))
	})
	upload := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes))
	first, firstReader := dial(t, addr)
	io.WriteString(first, upload)
	<-entered
	second, secondReader := dial(t, addr)
	io.WriteString(second, upload)
	small, smallReader := dial(t, addr)
	io.WriteString(small, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	if _, body := readAnswer(t, smallReader); body != "3" {
		t.Errorf("small request answered %q", body)
	}
	select {
	case <-entered:
		t.Error("a second upload was read without room")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	for _, br := range []*bufio.Reader{firstReader, secondReader} {
		if _, body := readAnswer(t, br); body != fmt.Sprint(uploadBytes) {
			t.Errorf("upload answered %q", body)
		}
	}
	awaitRoom(t, opts.Bodies)
}

// Guards against an upload without room that is neither run nor answered.
func TestUploadWithoutRoomIsRefusedInTime(t *testing.T) {
	opts := DefaultServerOptions()
	opts.Bodies = bodybudget.New(2 * uploadBytes)
	if err := opts.Bodies.Acquire(context.Background(), uploadBytes); err != nil {
		t.Fatal(err)
	}
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), 20*time.Millisecond)
		defer cancel()
		if _, err := Body(ctx, r); !errors.Is(err, bodybudget.ErrNoRoom) || !WriteBodyError(w, err) {
			t.Errorf("the body was read: %v", err)
		}
	})
	conn, br := dial(t, addr)
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	if resp, _ := readAnswer(t, br); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// Guards against room that is held by a caller that stops half-way, with and without a
// declared length, or disconnects.
func TestCallerThatStopsHalfWayReturnsItsRoom(t *testing.T) {
	opts := DefaultServerOptions()
	opts.BodyStallTimeout = 50 * time.Millisecond
	opts.Bodies = bodybudget.New(1 << 20)
	_, addr := startServer(t, opts, storeBody)
	half := strings.Repeat("x", uploadBytes/2)
	for name, text := range map[string]string{
		"declared": fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, half),
		"chunked":  fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", uploadBytes, half),
	} {
		for _, disconnect := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, disconnect %t", name, disconnect), func(t *testing.T) {
				conn, br := dial(t, addr)
				io.WriteString(conn, text)
				if disconnect {
					conn.Close()
				} else if _, err := http.ReadResponse(br, nil); err == nil {
					t.Error("half of a body was answered")
				}
				awaitRoom(t, opts.Bodies)
			})
		}
	}
}

// Guards against bodies of unknown length that exceed budget or limit while they grow.
func TestChunkedUploads(t *testing.T) {
	opts := DefaultServerOptions()
	opts.Bodies = bodybudget.New(1 << 20)
	opts.MaxBodyBytes = func() int64 { return 300 << 10 }
	_, addr := startServer(t, opts, storeBody)
	for size, want := range map[int]int{1: http.StatusOK, uploadBytes: http.StatusOK, 300 << 10: http.StatusOK, 300<<10 + 1: http.StatusRequestEntityTooLarge, 400 << 10: http.StatusRequestEntityTooLarge} {
		conn, br := dial(t, addr)
		go fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
		if resp, body := readAnswer(t, br); resp.StatusCode != want || want == http.StatusOK && body != fmt.Sprint(size) {
			t.Errorf("%d bytes: status %d, %q; want %d", size, resp.StatusCode, body, want)
		}
	}
	awaitRoom(t, opts.Bodies)
}

// TestHugeChunkedBodyIsServedAlone sends a body of unknown length that exceeds the budget for bodies. It must
// be read whole, and its room be free afterwards.
func TestHugeChunkedBodyIsServedAlone(t *testing.T) {
	const size = 3 << 20
	opts := DefaultServerOptions()
	opts.Bodies = bodybudget.NewWithHuge(1<<20, 4<<20)
	opts.RoomTimeout = 100 * time.Millisecond
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		body, err := Body(r.Context(), r)
		if err != nil {
			WriteBodyError(w, err)
			return
		}
		fmt.Fprint(w, len(body))
	})
	for range 3 {
		conn, br := dial(t, addr)
		io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
		if resp, body := readAnswer(t, br); resp.StatusCode != http.StatusOK || body != fmt.Sprint(size) {
			t.Errorf("status %d, %q", resp.StatusCode, body)
		}
	}
	if s := opts.Bodies.Status(); s.Used != 0 {
		t.Errorf("%+v after all bodies", s)
	}
}
