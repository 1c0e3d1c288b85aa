"""Decoding of what other processes wrote, in which any bytes may come."""

import re
from typing import TypeVar

import msgspec

T = TypeVar("T")

_IPV4_WITH_PORT = re.compile(r"([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3})\.([0-9]{1,3}):([0-9]{1,5})")
MAX_PORT = 65_535


class Unreadable(Exception):
    """Data that cannot be decoded, whatever the reason."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Return a decoded JSON document.

    :raises Unreadable: also if it is nested too deeply, or holds a number that is too large.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError) as error:
        raise Unreadable(repr(error)) from error


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Return a decoded MessagePack document.

    :raises Unreadable: as ``decode_json``.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError) as error:
        raise Unreadable(repr(error)) from error


def is_ipv4_with_port(address: str) -> bool:
    """Return whether a text is an IPv4 address and a port, IP:PORT, to which one can connect."""
    match = _IPV4_WITH_PORT.fullmatch(address)
    if match is None:
        return False
    *octets, port = (int(group) for group in match.groups())
    return all(octet <= 255 for octet in octets) and 0 < port <= MAX_PORT
