package heartbeat

// poolingLocked returns this host and those of some peers that report that they pool slots of endpoints with a
// rejection limit.
func (t *Table) poolingLocked(names []string) []string {
	pooling := []string{t.self.Name}
	for _, name := range names {
		if peer := t.peers[name]; peer != nil && peer.report.PoolsSlots {
			pooling = append(pooling, name)
		}
	}
	return pooling
}

// pooling returns the hosts of the sender's group that pool slots of endpoints with a rejection limit.
func (d *Digest) pooling() []string {
	var pooling []string
	if d.PoolsSlots {
		pooling = append(pooling, d.Name)
	}
	for name, ack := range d.Acks {
		if ack.PoolsSlots {
			pooling = append(pooling, name)
		}
	}
	return pooling
}
