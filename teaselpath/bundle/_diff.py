"""Differences between two bundles; list items are matched by id instead of position."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from teaselpath.bundle._document import Bundle

_MISSING = object()
_ID_FIELDS = ("id", "prefix", "endpoint")


@dataclass(slots=True, frozen=True)
class Change:
    """A difference between two bundles.

    :param kind: ``added``, ``removed`` or ``changed``.
    :param old: JSON value before the change; None for an added value.
    :param new: JSON value after the change; None for a removed value.
    """

    kind: str
    path: str
    old: Any
    new: Any


def diff_bundles(old: Bundle, new: Bundle) -> list[Change]:
    """Return the changes from one bundle to another, ordered by path."""
    return list(
        _diff(_index_by_id(msgspec.to_builtins(old)), _index_by_id(msgspec.to_builtins(new)), "")
    )


def _index_by_id(value: Any) -> Any:
    """Convert lists of objects to dicts keyed by id, so that reordering a list is no change."""
    if isinstance(value, dict):
        return {name: _index_by_id(part) for name, part in value.items()}
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return {f"[{_identity(item)}]": _index_by_id(item) for item in value}
    return value if value != [] else {}


def _identity(item: dict[str, Any]) -> str:
    name = next(str(item[field]) for field in _ID_FIELDS if field in item)
    return f"{name} {item['kind']} {item['model']}".strip() if "endpoint" in item else name


def _diff(old: Any, new: Any, path: str) -> Iterator[Change]:
    if old is _MISSING:
        yield Change("added", path, None, new)
    elif new is _MISSING:
        yield Change("removed", path, old, None)
    elif isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            inner = f"{path}{name}" if name.startswith("[") else f"{path}.{name}".lstrip(".")
            yield from _diff(old.get(name, _MISSING), new.get(name, _MISSING), inner)
    elif old != new:
        yield Change("changed", path, old, new)
