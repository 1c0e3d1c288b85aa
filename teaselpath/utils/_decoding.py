"""Decoding of what other processes wrote, in which any bytes may come."""

import re
from typing import TypeVar

import msgspec

T = TypeVar("T")

_IPV4 = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}")
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
# What decoding raises on data that is malformed, nested too deeply, or holds too large a number.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)


class Unreadable(Exception):
    """Data that cannot be decoded, whatever the reason."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Return a decoded JSON document.

    :raises Unreadable: also if it is nested too deeply, or holds a number that is too large.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise Unreadable(repr(error)) from error


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Return a decoded MessagePack document.

    :raises Unreadable: as ``decode_json``.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise Unreadable(repr(error)) from error


def is_ipv4(address: str) -> bool:
    """Return whether a text is an IPv4 address."""
    is_formed = _IPV4.fullmatch(address) is not None
    return is_formed and all(int(octet) <= 255 for octet in address.split("."))


def is_ipv4_with_port(address: str) -> bool:
    """Return whether a text is an IPv4 address and a port, IP:PORT, to which one can connect."""
    ip, _, port = address.rpartition(":")
    return is_ipv4(ip) and _PORT.fullmatch(port) is not None and 0 < int(port) <= MAX_PORT
