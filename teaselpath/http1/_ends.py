"""Ends of server connections, with what they leave unanswered."""

import array
import fcntl
import select
import socket
import termios
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from teaselpath.http1._messages import Request


class EndCause(Enum):
    """Why a connection ends.

    ``HANDLER_FAILED``, ``ABORTED``: its handler raised, or broke off the response; ``STOPPED``: its
    handler was cancelled; ``AFTER_RESPONSE``: the response announced the end; ``IDLE``: no request
    arrived in time; ``REJECTED``: a request was malformed, too large or too slow; ``CALLER_EOF``,
    ``CALLER_RESET``: the caller ended its sending side, or the connection was lost.
    """

    HANDLER_FAILED = "handler_failed"
    ABORTED = "aborted"
    STOPPED = "stopped"
    AFTER_RESPONSE = "after_response"
    IDLE = "idle"
    REJECTED = "rejected"
    CALLER_EOF = "caller_eof"
    CALLER_RESET = "caller_reset"


@dataclass(slots=True, frozen=True)
class ConnectionEnd:
    """What the end of a connection leaves unanswered.

    :param cut: request whose response had started and is incomplete.
    :param unanswered: requests that were read completely and get no response, in order.
    :param has_partial_request: whether a part of a further request was read.
    :param unread_bytes: bytes that the kernel had received and that were not read.
    """

    cause: EndCause
    cut: Request | None
    unanswered: tuple[Request, ...]
    has_partial_request: bool
    unread_bytes: int

    @property
    def is_clean(self) -> bool:
        """Return whether nothing is left unanswered."""
        return not (self.cut or self.unanswered or self.has_partial_request or self.unread_bytes)


class ConnectionObserver(Protocol):
    """Receives what a connection's end leaves unanswered, and failures of handlers."""

    def on_handler_failed(self, request: Request, error: Exception) -> None:
        """Report that the handler of a request raised."""

    def on_end(self, end: ConnectionEnd) -> None:
        """Report an end that is not clean."""


def count_unread_bytes(sock: socket.socket | None) -> int:
    """Return the number of received bytes that the kernel holds; 0 for a closed socket."""
    if sock is None or sock.fileno() < 0:
        return 0
    size = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, size)
    return size[0]


def count_untaken_bytes(sock: socket.socket | None) -> int:
    """Return the number of sent bytes that the kernel holds, as the other side has not taken them.

    It is 0 for a closed socket.
    """
    if sock is None or sock.fileno() < 0:
        return 0
    size = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    return size[0]


def has_unread_data(sock: socket.socket | None) -> bool:
    """Return whether the kernel holds data that was not read; closing would reset the caller.

    The end of the connection counts as data and is read next.
    """
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
