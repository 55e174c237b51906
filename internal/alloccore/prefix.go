package alloccore

import "container/list"

const (
	// prefixesPerEngine is the maximum number of prefix hashes stored for an engine. With blocks of 256 tokens or more
	// this covers over 2 M tokens, more than an engine's cache holds.
	prefixesPerEngine = 8_192
	// prefixesPerRequest is the maximum number of hashes stored of one prompt, so that one prompt cannot evict all others.
	// Gates send at most 32.
	prefixesPerRequest = 64
)

// prefixLRU is an LRU set of the prompt prefixes recently sent to an engine. It approximates the engine's cache: cache
// events arrive late and with gaps, while grants are known immediately.
type prefixLRU struct {
	order *list.List
	nodes map[uint64]*list.Element
}

func newPrefixLRU() prefixLRU {
	return prefixLRU{order: list.New(), nodes: map[uint64]*list.Element{}}
}

// clear removes all prefixes; a restarted engine has an empty cache.
func (m *prefixLRU) clear() {
	m.order.Init()
	clear(m.nodes)
}

// record adds the prefixes of a prompt. The shortest are added last and so evicted last, because every longer prefix
// depends on them.
func (m *prefixLRU) record(hashes []uint64) {
	hashes = hashes[:min(len(hashes), prefixesPerRequest)]
	for i := len(hashes) - 1; i >= 0; i-- {
		m.touch(hashes[i])
	}
}

func (m *prefixLRU) touch(hash uint64) {
	if node, ok := m.nodes[hash]; ok {
		m.order.MoveToBack(node)
		return
	}
	m.nodes[hash] = m.order.PushBack(hash)
	if m.order.Len() > prefixesPerEngine {
		oldest := m.order.Front()
		m.order.Remove(oldest)
		delete(m.nodes, oldest.Value.(uint64))
	}
}

// cachedTokens returns the length in tokens of the longest stored prefix of a prompt. It checks every hash, longest
// first: the block size varies with the prompt length, so a prefix may be stored without a shorter one.
func (m *prefixLRU) cachedTokens(req *Request) int {
	for i := min(len(req.PrefixHashes), prefixesPerRequest); i > 0; i-- {
		if _, ok := m.nodes[req.PrefixHashes[i-1]]; ok {
			return min(i*req.PrefixBlock, req.PromptTokens)
		}
	}
	return 0
}
