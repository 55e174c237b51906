package alloccore

import "container/list"

const (
	// prefixesPerEngine bounds the prefix hashes remembered for an engine; at 256 tokens a block or more this is over
	// 2 M tokens, more than an engine's cache holds.
	prefixesPerEngine = 8_192
	// prefixesPerRequest bounds the hashes remembered of one prompt, so that one prompt cannot push out all others.
	// Gates send at most 32.
	prefixesPerRequest = 64
)

// prefixLRU remembers which prompt prefixes were last sent to an engine, least recently used first out. It is a
// guess of the engine's cache: cache events come late and with gaps, while grants are known at once.
type prefixLRU struct {
	order *list.List
	nodes map[uint64]*list.Element
}

func newPrefixLRU() prefixLRU {
	return prefixLRU{order: list.New(), nodes: map[uint64]*list.Element{}}
}

// clear forgets everything, as a restarted engine does.
func (m *prefixLRU) clear() {
	m.order.Init()
	clear(m.nodes)
}

// record notes the prefixes of a prompt. The shortest are recorded last and so forgotten last, because every longer one
// needs them.
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

// cachedTokens returns the length of the longest remembered prefix of a prompt. It looks at every hash, longest first:
// prompts of different lengths come with hashes of different blocks, so a prefix may be remembered without a shorter one.
func (m *prefixLRU) cachedTokens(req *Request) int {
	for i := min(len(req.PrefixHashes), prefixesPerRequest); i > 0; i-- {
		if _, ok := m.nodes[req.PrefixHashes[i-1]]; ok {
			return min(i*req.PrefixBlock, req.PromptTokens)
		}
	}
	return 0
}
