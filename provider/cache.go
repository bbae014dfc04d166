package provider

import (
	"errors"
	"sync"
)

// errUnchanged is returned for a conditional read if the response still has the
// entity tag that the client sent.
var errUnchanged = errors.New("response not modified")

// Limits of the responses that a Client caches.
const (
	maxCachedBytes     = 64 << 10 // size of one response
	maxCachedResponses = 32
)

// cache stores responses to reads with their entity tags, so that a read that
// is repeated every second transfers its body only when it has changed. If the
// platform sends no entity tags, every read transfers the whole body. The zero
// value is empty and ready to use.
type cache struct {
	mutex     sync.Mutex
	responses map[string]cachedResponse // by path and query
	hosts     hostList
}

type cachedResponse struct {
	tag  string
	body []byte
}

// hostList is cached in decoded form, since it is the most expensive response
// to decode.
type hostList struct {
	tag   string
	hosts []Host
}

func (c *cache) response(key string) cachedResponse {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.responses[key]
}

// keep caches a response that has a tag and is not too large. If the cache is
// full, it drops all other responses first.
func (c *cache) keep(key string, a cachedResponse) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if a.tag == "" || len(a.body) > maxCachedBytes {
		delete(c.responses, key)
		return
	}
	if c.responses == nil || len(c.responses) >= maxCachedResponses {
		c.responses = map[string]cachedResponse{}
	}
	c.responses[key] = a
}

func (c *cache) hostList() hostList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hosts
}

func (c *cache) setHosts(l hostList) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hosts = l
}
