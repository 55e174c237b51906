package edge

// eraMet records that the daemon has met a later era of the store. Its copies follow by themselves.
func (d *Daemon) eraMet(old, latest uint64, from string) {
	if old == 0 {
		d.log.Info("era of the store", "era", latest, "from", from)
		return
	}
	d.restores.Inc(1)
	config, evacuations := d.configCopy.knownVersion(), d.evacuations.knownVersion()
	d.log.Warn("store was restored from an older copy", "era", latest, "old_era", old, "from", from, "config_in_force", d.inForce.current(),
		"servers_revision", d.serversVersion().Revision, "config_revision", config.Revision, "evacuations_revision", evacuations.Revision)
}
