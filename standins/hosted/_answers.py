"""The answers of simulated engines, which follow from the id of the request."""

from hashlib import blake2b

# Ids that begin with this have long answers, with many large events.
LONG_ANSWER = "long-"
LONG_EVENTS = 48
LONG_EVENT_BYTES = 8_192


def shared_parts_of(headers: dict[str, str]) -> list[str]:
    """Return the ids of the parts of a prompt except the last one."""
    entries = headers.get("prompt-prefix", "").split(",")
    return [entry.partition(":")[0].strip() for entry in entries[:-1]]


def stamp_of(request_id: str) -> str:
    """Return the signature that the answer to a request carries."""
    return blake2b(request_id.encode(), key=b"stamp", digest_size=8).hexdigest()


def answer_of(request_id: str) -> bytes:
    """Return the body of the answer to a request that is not streamed."""
    return blake2b(request_id.encode(), key=b"body").hexdigest().encode() * 6


def events_of(request_id: str) -> list[bytes]:
    """Return the encoded events of the streamed answer to a request."""
    if request_id.startswith(LONG_ANSWER):
        filler = stamp_of(request_id).encode() * (LONG_EVENT_BYTES // 16)
        return [b"id: %d\ndata: %s\n\n" % (number, filler) for number in range(1, LONG_EVENTS + 1)]
    count = 4 + int(stamp_of(request_id), 16) % 9
    return [
        b"id: %d\ndata: %s-%d\n\n" % (number, request_id.encode(), number)
        for number in range(1, count + 1)
    ]
