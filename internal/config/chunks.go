package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Stored form of a document: a root object that refers to chunks by hash. Workspaces and backend servers are spread
// over buckets by the hash of their names, with one chunk per bucket, so that a typical change rewrites a single
// small chunk.
const (
	// Buckets is the number of buckets.
	Buckets = 256
	// MaxChunkBytes bounds a chunk well below platform.MaxValueBytes.
	MaxChunkBytes = 256 << 10
	// RootName is the name of the root object in the kind platform.KindConfig.
	RootName = "root"
	// MaxRootAttempts is the maximum number of accepted attempts that a root lists, so that a writer whose response was
	// lost can determine whether its change was accepted.
	MaxRootAttempts = 64
)

// Root is the root object of a stored document. Generation increases by one with every accepted change.
type Root struct {
	Generation uint64    `json:"generation"`
	Attempts   []Attempt `json:"attempts"`
	Author     string    `json:"author"`
	// AcceptedAtMicros is the time of acceptance by the writer's wall clock, in microseconds since the Unix epoch.
	AcceptedAtMicros int64 `json:"acceptedAtMicros"`
	// Base is the hash of the chunk that holds everything except workspaces and backend servers.
	Base string `json:"base"`
	// Buckets are the hashes of the non-empty bucket chunks, by bucket number.
	Buckets map[int]string `json:"buckets"`
}

// Attempt is an accepted change.
type Attempt struct {
	Generation uint64 `json:"generation"`
	ID         string `json:"id"`
	// Author and AcceptedAtMicros are those of the root of that generation; the attempts together are the audit log.
	Author           string `json:"author,omitempty"`
	AcceptedAtMicros int64  `json:"acceptedAtMicros,omitempty"`
}

// Hashes returns the hashes of all chunks, sorted.
func (r *Root) Hashes() []string {
	out := []string{r.Base}
	for _, hash := range r.Buckets {
		out = append(out, hash)
	}
	sort.Strings(out)
	return out
}

type bucket struct {
	Workspaces     []Workspace     `json:"workspaces,omitempty"`
	BackendServers []BackendServer `json:"backendServers,omitempty"`
}

// ChunkHash returns the hash that names a chunk: its SHA-256 in hex.
func ChunkHash(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:])
}

// Split returns the chunks of a document by hash, and a root that has only Base and Buckets set. Documents with the
// same content give the same chunks.
func Split(doc *Document) (Root, map[string][]byte, error) {
	base := *doc
	base.Workspaces, base.BackendServers = nil, nil
	buckets := map[int]*bucket{}
	bucketOf := func(name string) *bucket {
		n := int(xxhash.Sum64String(name) % Buckets)
		if buckets[n] == nil {
			buckets[n] = &bucket{}
		}
		return buckets[n]
	}
	for _, w := range doc.Workspaces {
		b := bucketOf(w.Name)
		b.Workspaces = append(b.Workspaces, w)
	}
	for _, s := range doc.BackendServers {
		b := bucketOf(s.Name)
		b.BackendServers = append(b.BackendServers, s)
	}
	root := Root{Buckets: map[int]string{}}
	chunks := map[string][]byte{}
	hash, err := addChunk(chunks, base)
	if err != nil {
		return Root{}, nil, fmt.Errorf("base chunk: %w", err)
	}
	root.Base = hash
	for n, b := range buckets {
		b.sort()
		if root.Buckets[n], err = addChunk(chunks, b); err != nil {
			return Root{}, nil, fmt.Errorf("bucket %d: %w", n, err)
		}
	}
	return root, chunks, nil
}

func (b *bucket) sort() {
	sort.Slice(b.Workspaces, func(i, j int) bool { return b.Workspaces[i].Name < b.Workspaces[j].Name })
	sort.Slice(b.BackendServers, func(i, j int) bool { return b.BackendServers[i].Name < b.BackendServers[j].Name })
}

func addChunk(chunks map[string][]byte, v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	if len(data) > MaxChunkBytes {
		return "", fmt.Errorf("chunk of %d bytes is over the limit of %d bytes", len(data), MaxChunkBytes)
	}
	hash := ChunkHash(data)
	chunks[hash] = data
	return hash, nil
}

// Assemble rebuilds the document of a root. get returns the chunk for a hash; its content is verified against the hash.
// Workspaces and backend servers are sorted by name.
func Assemble(root *Root, get func(hash string) ([]byte, bool)) (*Document, error) {
	doc := &Document{}
	if err := readChunk(root.Base, get, doc); err != nil {
		return nil, fmt.Errorf("base chunk: %w", err)
	}
	for n, hash := range root.Buckets {
		var b bucket
		if err := readChunk(hash, get, &b); err != nil {
			return nil, fmt.Errorf("bucket %d: %w", n, err)
		}
		doc.Workspaces = append(doc.Workspaces, b.Workspaces...)
		doc.BackendServers = append(doc.BackendServers, b.BackendServers...)
	}
	all := bucket{Workspaces: doc.Workspaces, BackendServers: doc.BackendServers}
	all.sort()
	return doc, nil
}

func readChunk(hash string, get func(string) ([]byte, bool), out any) error {
	data, ok := get(hash)
	if !ok {
		return fmt.Errorf("chunk %s is missing", hash)
	}
	if got := ChunkHash(data); got != hash {
		return fmt.Errorf("chunk %s has the content of %s", hash, got)
	}
	return json.Unmarshal(data, out)
}
