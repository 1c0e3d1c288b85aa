"""Headers of callers that pass to endpoints."""

# All that an endpoint may see of a caller's headers; credentials are not among them. The entry and
# the agent both apply the list, so that a faulty entry alone cannot leak a key.
FORWARDED_HEADERS = frozenset({"accept", "accept-language", "content-type"})
