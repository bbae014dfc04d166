package node

// configurationVersion returns the version in force in this process, 0 if none is known.
func (n *Node) configurationVersion() uint64 {
	if n.Configuration == nil {
		return 0
	}
	return n.Configuration.Version()
}

// announceConfiguration passes on which version another process has in force.
func (n *Node) announceConfiguration(version uint64, address string) {
	if n.Configuration != nil {
		n.Configuration.Announce(version, address)
	}
}

// ConfigurationAbove implements exchange.Service.
func (n *Node) ConfigurationAbove(version uint64) []byte {
	if n.configurationVersion() <= version {
		return nil
	}
	return n.Configuration.Value()
}
