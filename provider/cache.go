package provider

import (
	"errors"
	"sync"
)

// errUnchanged is the platform's answer to a read that names the tag of the
// answer it would give.
var errUnchanged = errors.New("answer is unchanged")

// Bounds of the answers that a client keeps.
const (
	maxCachedBytes   = 64 << 10 // of one answer
	maxCachedAnswers = 32
)

// cache keeps answers to reads with the entity tags under which they were
// given, so that a read that is repeated every second moves its bytes only
// when they change. A platform without tags is read in full each time. The
// zero value is empty.
type cache struct {
	mutex   sync.Mutex
	answers map[string]answer // by path and query
	hosts   hostList
}

type answer struct {
	tag  string
	body []byte
}

// hostList is kept decoded, since decoding it costs the most.
type hostList struct {
	tag   string
	hosts []Host
}

func (c *cache) answer(key string) answer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answers[key]
}

// keep stores an answer; when there are too many it forgets all others.
func (c *cache) keep(key string, a answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if a.tag == "" || len(a.body) > maxCachedBytes {
		delete(c.answers, key)
		return
	}
	if c.answers == nil || len(c.answers) >= maxCachedAnswers {
		c.answers = map[string]answer{}
	}
	c.answers[key] = a
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
