package alloccore

import "container/list"

const (
	// prefixesPerEngine bounds the prefix hashes remembered for an engine; at 256 tokens a block this is 2 M tokens,
	// more than an engine's cache holds.
	prefixesPerEngine = 8_192
	// prefixesPerRequest bounds the hashes remembered of one prompt, so that one prompt cannot push out all others.
	prefixesPerRequest = 1_024
)

// prefixMemory remembers which prompt prefixes were last sent to an engine, least recently used first out. It is a
// guess of the engine's cache: cache events come late and with gaps, while grants are known at once.
type prefixMemory struct {
	order *list.List
	nodes map[uint64]*list.Element
}

func newPrefixMemory() prefixMemory {
	return prefixMemory{order: list.New(), nodes: map[uint64]*list.Element{}}
}

// clear forgets everything, as a restarted engine does.
func (m *prefixMemory) clear() {
	m.order.Init()
	clear(m.nodes)
}

// record notes the prefixes of a prompt. The shortest are recorded last and so forgotten last, because every longer one
// needs them.
func (m *prefixMemory) record(hashes []uint64) {
	hashes = hashes[:min(len(hashes), prefixesPerRequest)]
	for i := len(hashes) - 1; i >= 0; i-- {
		m.touch(hashes[i])
	}
}

func (m *prefixMemory) touch(hash uint64) {
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

// cachedTokens returns the length of the longest remembered prefix of a prompt. It searches by bisection, as a prefix
// is never remembered without the shorter ones.
func (m *prefixMemory) cachedTokens(req *Request) int {
	low, high := 0, min(len(req.PrefixHashes), prefixesPerRequest)
	for low < high {
		middle := (low + high) / 2
		if _, ok := m.nodes[req.PrefixHashes[middle]]; ok {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return min(low*req.PrefixBlock, req.PromptTokens)
}
