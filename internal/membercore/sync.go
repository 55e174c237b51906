package membercore

// fullTable returns all known members, this daemon first, with all crash records and the generation.
func (c *Core) fullTable() Table {
	members := make([]Member, 0, len(c.names)+1)
	members = append(members, c.self)
	for _, name := range c.names {
		members = append(members, c.members[name].Member)
	}
	return Table{Members: members, Records: c.sortedRecords(), Generation: c.generation}
}

// replyTable returns this daemon's own record and those members and crash records that request lacks or has in an older
// version. This halves the size of an exchange.
func (c *Core) replyTable(request Table) Table {
	knownMembers := make(map[string]Member, len(request.Members))
	for _, m := range request.Members {
		knownMembers[m.Name] = m
	}
	members := []Member{c.self}
	for _, name := range c.names {
		m := c.members[name].Member
		old, ok := knownMembers[name]
		if !ok || m.supersedes(old) {
			members = append(members, m)
		}
	}
	knownRecords := make(map[string]bool, len(request.Records))
	for _, r := range request.Records {
		knownRecords[r.key()] = true
	}
	var records []CrashRecord
	for _, r := range c.sortedRecords() {
		if !knownRecords[r.key()] {
			records = append(records, r)
		}
	}
	return Table{Members: members, Records: records, Generation: c.generation}
}

// mergeTable applies the table of another daemon. Records that report a live member as suspect or dead are verified
// first, see queueClaimVerification: they may be stale, or come from the other side of a network partition.
func (c *Core) mergeTable(t Table) {
	if len(t.Members) == 0 || t.Members[0].Name == c.self.Name || !t.Members[0].valid() {
		return
	}
	c.applyDirectUpdate(t.Members[0])
	for _, m := range t.Members[1:] {
		e := c.members[m.Name]
		if e != nil && e.Live() && m.valid() && (m.State == Dead || m.State == Suspect) {
			c.queueClaimVerification(e, m)
			continue
		}
		c.applyUpdate(m)
	}
	c.storeReceivedRecords(t.Records)
	c.reportNewerGeneration(t.Generation, t.Members[0].Address)
	if !c.joined {
		c.joined = true
		c.emit(Joined{})
	}
}
