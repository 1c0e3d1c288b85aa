"""Request headers that are forwarded to endpoints."""

# Allow list without credentials. Both the entry and the agent apply it, so that a faulty entry
# alone cannot leak a key.
FORWARDED_HEADERS = frozenset({"accept", "accept-language", "content-type"})
