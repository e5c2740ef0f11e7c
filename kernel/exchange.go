package kernel

import "sync"

// ExchangeHandler answers a control request sent by another node, whose ID is source.
// It runs on the goroutine that serves the stream. If it returns an error, no reply is
// sent.
type ExchangeHandler func(source string, payload []byte) ([]byte, error)

// Exchanges maps the topics of control requests to their handlers. It is safe
// for concurrent use.
type Exchanges struct {
	mu       sync.RWMutex
	handlers map[string]ExchangeHandler
}

func newExchanges() *Exchanges { return &Exchanges{handlers: map[string]ExchangeHandler{}} }

// Handle registers the handler of a topic and replaces any previous one.
func (e *Exchanges) Handle(topic string, h ExchangeHandler) {
	e.mu.Lock()
	e.handlers[topic] = h
	e.mu.Unlock()
}

// Handler returns the handler of a topic, and false if there is none.
func (e *Exchanges) Handler(topic string) (ExchangeHandler, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	h, ok := e.handlers[topic]
	return h, ok
}
