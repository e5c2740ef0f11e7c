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

// announcement is what a server tells the node beside it.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// announce tells the node of the server each second until it drains or stops.
func (s *Server) announce() {
	if s.opts.Node == "" {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.renew()
		select {
		case <-ticker.C:
		case <-s.drained:
			return
		case <-s.stop:
			return
		}
	}
}

// renew tells the node that the server takes work, unless it drains.
func (s *Server) renew() {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	if !s.draining.Load() {
		s.tellNode(http.MethodPut)
	}
}

// withdraw tells the node that the server takes no new work. It waits for an
// announcement on its way, so that none arrives later.
func (s *Server) withdraw() {
	s.announcing.Lock()
	defer s.announcing.Unlock()
	if s.opts.Node != "" {
		s.tellNode(http.MethodDelete)
	}
}

func (s *Server) tellNode(method string) {
	if err := s.sendToNode(method); err != nil {
		s.log.Warn("announcement failed", zap.String("method", method), zap.Error(err))
	}
}

func (s *Server) sendToNode(method string) error {
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
