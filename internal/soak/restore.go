package soak

import (
	"strconv"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

const (
	// restoredCopyAge is the age of the copy from which the store is restored.
	restoredCopyAge = 4 * time.Second
	// laterChanges is how often each server changes its entry after the copy was made, and the operator the configuration, so that the store's
	// revision stays below the old one after the restore.
	laterChanges = 8
	// maxStoreAway bounds how long the store is away before.
	maxStoreAway = 1500 * time.Millisecond
	// rewriteDelay is how long after the return of the store the servers have written their entries again, and staleEntryLifetime when it
	// removes those that nobody has written again.
	rewriteDelay       = 500 * time.Millisecond
	staleEntryLifetime = 3 * time.Second
)

// restoreStore lets the store be away for a moment and return from a copy that is some seconds old. The operator and the servers then write
// again what they had written.
func (inj *injector) restoreStore(f Fault) {
	c := inj.cluster
	backup := c.store.Backup()
	for n := range laterChanges {
		for _, b := range c.backends {
			b.changeEntry(c.store, n)
		}
		c.updateConfig(func() {})
		time.Sleep(restoredCopyAge / laterChanges)
	}
	end := inj.checker.beginDisturbance(scopeStore)
	c.store.SetOutage(standin.ResetConnections)
	time.Sleep(min(milliseconds(f.ForMs), maxStoreAway))
	c.mu.Lock()
	c.store.Restore(backup)
	c.writeConfig()
	for domain, evacuated := range c.evacuated {
		if evacuated {
			c.store.Put(standin.KindEvacuations, domain, struct{}{})
		} else {
			c.store.Delete(standin.KindEvacuations, domain)
		}
	}
	c.mu.Unlock()
	c.store.SetOutage(standin.Serving)
	time.Sleep(rewriteDelay)
	for _, b := range c.backends {
		b.rewriteEntry(c.store)
	}
	end()
	time.Sleep(staleEntryLifetime - rewriteDelay)
	current := map[string]bool{}
	for _, b := range c.backends {
		current[b.current().ID] = true
	}
	for _, id := range c.store.Names(standin.KindServers) {
		if !current[id] {
			c.store.Delete(standin.KindServers, id)
		}
	}
}

// changeEntry writes the entry of the current server with another version of its software.
func (b *backend) changeEntry(store *standin.Store, version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entry != nil {
		b.entry = standin.VersionedServerEntry(b.entry, strconv.Itoa(version))
		store.Put(standin.KindServers, b.server.ID, b.entry)
	}
}

// rewriteEntry writes the entry of the current server again if the store has lost it or holds an older one.
func (b *backend) rewriteEntry(store *standin.Store) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entry != nil {
		store.PutIfChanged(standin.KindServers, b.server.ID, b.entry)
	}
}

// removeServerEntry removes the entry of a server that has ended.
func (c *cluster) removeServerEntry(b *backend, s *standin.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry = nil
	c.store.Delete(standin.KindServers, s.ID)
}

// setEvacuated creates or removes the object of an evacuated failure domain, as the operator does.
func (c *cluster) setEvacuated(domain string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[domain] = evacuated
	if evacuated {
		c.store.Put(standin.KindEvacuations, domain, struct{}{})
	} else {
		c.store.Delete(standin.KindEvacuations, domain)
	}
}
