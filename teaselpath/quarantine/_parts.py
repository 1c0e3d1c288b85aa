"""Keys of what may crash engines: parts of prompts, and requests as a whole."""

# Begins the key of a whole request; that of a prompt part contains a slash or begins with "#".
_WHOLE_REQUEST_PREFIX = "="


def whole_request(digest: str) -> str:
    """Return the key of a request as a whole."""
    return _WHOLE_REQUEST_PREFIX + digest


def is_whole_request(part: str) -> bool:
    """Return whether a key is that of a whole request."""
    return part.startswith(_WHOLE_REQUEST_PREFIX)
