"""Requests and responses, and the encoding of their heads."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

# Header fields that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

Headers = list[tuple[bytes, bytes]]

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header field; ``name`` is lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


class ServerLimits(Protocol):
    """Limits of what a caller may send."""

    @property
    def header_bytes(self) -> int:
        """Return the largest total size of names and values of a request's header fields."""

    @property
    def body_bytes(self) -> int:
        """Return the largest size of a request's body."""

    @property
    def header_timeout_s(self) -> float:
        """Return the time from the first byte of a request to the end of its head."""

    @property
    def idle_timeout_s(self) -> float:
        """Return the time after which a connection without a request is closed.

        It is also the limit on the time to receive a body.
        """


@dataclass(slots=True)
class Request:
    """A complete request.

    :param target: path and query as sent.
    :param received_at: event loop time at which its last byte arrived, in seconds.
    :param held_bytes: memory for bodies that it occupies.
    :param is_body_discarded: whether its body was discarded, as there was no memory for it.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float
    held_bytes: int = 0
    is_body_discarded: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field; ``name`` is lower case."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class ResponseHead:
    """Status line and header fields of a response."""

    status: int
    headers: Headers = field(default_factory=list)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header field; ``name`` is lower case."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class Response:
    """A complete response."""

    head: ResponseHead
    body: bytes


def encode_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Return an encoded request, with Content-Length if it has a body or its method allows one."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method in (b"POST", b"PUT", b"PATCH"):
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_head(status: int, headers: Headers) -> bytes:
    """Return the encoded head of a response."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, _REASONS.get(status, b"Unknown"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)
