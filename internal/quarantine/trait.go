package quarantine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Trait is a property that requests can share.
type Trait uint64

// PartTrait returns the trait of requests to a service that have a part of the prompt in common.
func PartTrait(service, part string) Trait {
	return newTrait([]byte("part"), []byte(service), []byte(part))
}

// RequestTrait returns the trait of repetitions of one request to a service: same method, host, path, key and body. How the body
// is divided into pieces does not matter.
func RequestTrait(service, method, host, path, key string, body ...[]byte) Trait {
	fields := [][]byte{[]byte("request"), []byte(service), []byte(method), []byte(host), []byte(path), []byte(key)}
	return newTraitWithBody(fields, body)
}

func newTrait(fields ...[]byte) Trait {
	return newTraitWithBody(fields[:len(fields)-1], fields[len(fields)-1:])
}

// newTraitWithBody hashes the fields and, as one further field, the pieces of a body.
func newTraitWithBody(fields, body [][]byte) Trait {
	var d xxhash.Digest
	d.Reset()
	for _, f := range fields {
		writeLength(&d, len(f))
		_, _ = d.Write(f) // a Digest never returns an error
	}
	size := 0
	for _, piece := range body {
		size += len(piece)
	}
	writeLength(&d, size)
	for _, piece := range body {
		_, _ = d.Write(piece)
	}
	return Trait(d.Sum64())
}

func writeLength(d *xxhash.Digest, n int) {
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}

// traitSet is a set of traits.
type traitSet map[Trait]bool

func newTraitSet(list []Trait) traitSet {
	set := make(traitSet, len(list))
	for _, t := range list {
		set[t] = true
	}
	return set
}

// distinct returns the traits of a list in their order, each once.
func distinct(list []Trait) []Trait {
	set := make(traitSet, len(list))
	out := make([]Trait, 0, len(list))
	for _, t := range list {
		if !set[t] {
			set[t] = true
			out = append(out, t)
		}
	}
	return out
}

// smallProduct is the number of comparisons up to which two lists are compared directly.
const smallProduct = 512

// containsAll reports whether a list has all of the wanted traits.
func containsAll(list, wanted []Trait) bool {
	if len(wanted) > 0 && !slices.Contains(list, wanted[0]) {
		return false
	}
	has := func(t Trait) bool { return slices.Contains(list, t) }
	if len(list)*len(wanted) > smallProduct {
		set := newTraitSet(list)
		has = func(t Trait) bool { return set[t] }
	}
	for _, t := range wanted {
		if !has(t) {
			return false
		}
	}
	return true
}

// hash identifies a sorted set of traits.
func hash(traits []Trait) Trait {
	var data []byte
	for _, t := range traits {
		data = binary.BigEndian.AppendUint64(data, uint64(t))
	}
	return Trait(xxhash.Sum64(data))
}
