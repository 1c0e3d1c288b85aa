"""Search of received requests for anything that may be a caller's credential."""

import re
from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import unquote

_NAMES = re.compile(r"auth|api[-_]?key|token$|secret|passw|credential|cookie|^key$|[-_]key$", re.I)
_VALUES = re.compile(r"bearer\s|basic\s|\b(sk|tp|ak|key)[-_][A-Za-z0-9_-]{8,}", re.I)
# Caller text and fields whose names look like credentials but are part of the protocol.
_NOT_SCANNED = {"prompt", "messages", "hashes", "blocks"}
_HARMLESS_NAMES = {"idempotency-key", "idempotency_key"}


class ReceivedFields:
    """Ring of what was received, with the parts that may hold a credential marked."""

    def __init__(self, capacity: int) -> None:
        self.watched: list[str] = []
        self.requests: deque[dict[str, Any]] = deque(maxlen=capacity)
        self.suspects: deque[dict[str, str]] = deque(maxlen=capacity)

    def add(
        self,
        request_id: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: Any,
        raw_body: bytes,
        keep: bool = True,
    ) -> None:
        """Record a request; the text of prompts is left out, but searched for watched values."""
        fields = list(_fields(body, "")) if isinstance(body, Mapping) else []
        if keep:
            self.requests.append(
                {
                    "request_id": request_id,
                    "method": method,
                    "path": path,
                    "headers": headers,
                    "fields": fields,
                }
            )
        places = [("path", path, path)]
        places += [("header", name, value) for name, value in headers]
        places += [("body", name, value) for name, value in fields]
        text = raw_body.decode(errors="replace")
        for watched in self.watched:
            for where, name, value in [*places, ("text", "", text)]:
                if watched in value or watched in unquote(value):
                    self._suspect(request_id, where, name, watched)
        for where, name, value in places:
            if is_suspect(name if where != "path" else "", value):
                self._suspect(request_id, where, name, value)

    def _suspect(self, request_id: str, where: str, name: str, value: str) -> None:
        self.suspects.append(
            {"request_id": request_id, "where": where, "name": name, "value": value}
        )


def is_suspect(name: str, value: str) -> bool:
    """Return whether a field may hold a credential, by its name or its value."""
    last = name.rsplit(".", 1)[-1]
    if last.lower() in _HARMLESS_NAMES:
        return False
    return bool(_NAMES.search(last) or _VALUES.search(value))


def _fields(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, Mapping):
        for name, item in value.items():
            if path or name not in _NOT_SCANNED:
                yield from _fields(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from _fields(item, f"{path}.{number}")
    else:
        yield path, str(value)
