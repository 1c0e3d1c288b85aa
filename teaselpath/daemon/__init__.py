"""The daemons: an entry or agent of a self-hosted fleet, or a gateway on the users' platform."""
