"""Identifiers."""

from random import Random


def new_id(random: Random) -> str:
    """Return a 128-bit identifier as 32 hexadecimal digits."""
    return f"{random.getrandbits(128):032x}"
