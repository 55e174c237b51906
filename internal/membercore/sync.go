package membercore

// table returns everything that this daemon knows, itself first.
func (c *Core) table() Table {
	members := make([]Member, 0, len(c.names)+1)
	members = append(members, c.self)
	for _, name := range c.names {
		members = append(members, c.members[name].Member)
	}
	return Table{Members: members, Records: c.sortedRecords(), Generation: c.generation}
}

// answerTable returns what the sender of a table does not know, this daemon first. It halves the bytes of an exchange.
func (c *Core) answerTable(asked Table) Table {
	known := make(map[string]Member, len(asked.Members))
	for _, m := range asked.Members {
		known[m.Name] = m
	}
	members := []Member{c.self}
	for _, name := range c.names {
		m := c.members[name].Member
		old, ok := known[name]
		if !ok || m.newer(old) {
			members = append(members, m)
		}
	}
	held := make(map[string]bool, len(asked.Records))
	for _, r := range asked.Records {
		held[r.key()] = true
	}
	var records []Record
	for _, r := range c.sortedRecords() {
		if !held[r.key()] {
			records = append(records, r)
		}
	}
	return Table{Members: members, Records: records, Generation: c.generation}
}

// merge takes in the table of another daemon. Claims that a live member is suspect or dead are checked first, see doubt:
// they may be old, or come from the other half of a region split.
func (c *Core) merge(t Table) {
	if len(t.Members) == 0 || t.Members[0].Name == c.self.Name || !t.Members[0].valid() {
		return
	}
	c.heard(t.Members[0])
	for _, m := range t.Members[1:] {
		e := c.members[m.Name]
		if e != nil && e.Live() && m.valid() && (m.State == Dead || m.State == Suspect) {
			c.doubt(e, m)
			continue
		}
		c.learn(m)
	}
	c.learnRecords(t.Records)
	c.seeGeneration(t.Generation, t.Members[0].Address)
	if !c.joined {
		c.joined = true
		c.emit(Joined{})
	}
}
