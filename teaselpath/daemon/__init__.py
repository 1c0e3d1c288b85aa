"""Daemons: entry or agent of a self-hosted fleet, and gateway on the users' platform."""
