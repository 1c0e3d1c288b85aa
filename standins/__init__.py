"""Small stand-ins for the outside systems that the router talks to."""
