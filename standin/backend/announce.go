package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	announcePath     = "/dogwoodhatch/v1/backend"
	announceInterval = time.Second
	announceTimeout  = time.Second
)

// announcement is the body of the requests that register and withdraw a server
// at the node beside it.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// announce repeats the announcement to the node at each announceInterval, until
// the server drains or stops.
func (s *Server) announce() {
	if s.opts.Node == "" {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.sendAnnouncement()
		select {
		case <-ticker.C:
		case <-s.drainStarted:
			return
		case <-s.stop:
			return
		}
	}
}

// sendAnnouncement registers the server at the node, unless it drains.
func (s *Server) sendAnnouncement() {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	if !s.draining.Load() {
		s.notifyNode(http.MethodPut)
	}
}

// withdraw tells the node to send the server no new requests. It first waits for
// an announcement in progress, which would otherwise register the server again
// if it arrived after the withdrawal.
func (s *Server) withdraw() {
	s.announceMu.Lock()
	defer s.announceMu.Unlock()
	if s.opts.Node != "" {
		s.notifyNode(http.MethodDelete)
	}
}

// notifyNode sends the announcement with the given HTTP method and logs a
// failure.
func (s *Server) notifyNode(method string) {
	if err := s.requestNode(method); err != nil {
		s.log.Warn("announcement failed", zap.String("method", method), zap.Error(err))
	}
}

func (s *Server) requestNode(method string) error {
	message, err := json.Marshal(announcement{
		Service:     s.opts.Service,
		Address:     s.Addr(),
		Slots:       s.opts.Slots,
		Connections: s.opts.Connections,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.opts.Node+announcePath, bytes.NewReader(message))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the node answered %s", resp.Status)
	}
	return nil
}
