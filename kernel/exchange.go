package kernel

import "sync"

// ExchangeHandler answers a control request of another node. It runs on the
// goroutine of the connection.
type ExchangeHandler func(source string, payload []byte) ([]byte, error)

// Exchanges maps topics to handlers.
type Exchanges struct {
	mu       sync.RWMutex
	handlers map[string]ExchangeHandler
}

func newExchanges() *Exchanges { return &Exchanges{handlers: map[string]ExchangeHandler{}} }

// Handle sets the handler of a topic.
func (e *Exchanges) Handle(topic string, h ExchangeHandler) {
	e.mu.Lock()
	e.handlers[topic] = h
	e.mu.Unlock()
}

// Handler returns the handler of a topic.
func (e *Exchanges) Handler(topic string) (ExchangeHandler, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	h, ok := e.handlers[topic]
	return h, ok
}
