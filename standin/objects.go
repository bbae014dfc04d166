package standin

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"persimmonworks.example/persimmonworks/provider"
)

// Objects is an object store in memory. The zero value is empty and ready; it
// is safe for concurrent use.
type Objects struct {
	mutex  sync.RWMutex
	bodies map[string][]byte
}

var _ provider.Objects = (*Objects)(nil)

// Put stores a copy of body under name.
func (o *Objects) Put(_ context.Context, name string, body []byte) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.bodies == nil {
		o.bodies = make(map[string][]byte)
	}
	o.bodies[name] = append([]byte{}, body...)
	return nil
}

// Get returns the object, or provider.ErrNotFound.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	body, found := o.bodies[name]
	if !found {
		return nil, fmt.Errorf("object %q: %w", name, provider.ErrNotFound)
	}
	return bytes.Clone(body), nil
}

// Delete removes the object, or returns provider.ErrNotFound.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if _, found := o.bodies[name]; !found {
		return fmt.Errorf("object %q: %w", name, provider.ErrNotFound)
	}
	delete(o.bodies, name)
	return nil
}
