"""Detection of possible caller credentials in received requests."""

import re
from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import unquote

_CREDENTIAL_NAMES = re.compile(
    r"auth|api[-_]?key|token$|secret|passw|credential|cookie|^key$|[-_]key$", re.I
)
_CREDENTIAL_VALUES = re.compile(r"bearer\s|basic\s|\b(sk|tp|ak|key)[-_][A-Za-z0-9_-]{8,}", re.I)
# Text of callers, and protocol fields whose names match the patterns but hold no credentials.
_NOT_SCANNED = {"prompt", "messages", "hashes", "blocks"}
_ALLOWED_NAMES = {"idempotency-key", "idempotency_key"}


class ReceivedFields:
    """Ring buffers of received requests and of fields that may hold a credential."""

    def __init__(self, capacity: int) -> None:
        self.watched_values: list[str] = []
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
        """Record a request; prompt text is not stored, but searched for the watched values."""
        fields = list(_leaf_fields(body, "")) if isinstance(body, Mapping) else []
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
        searched_fields = [("path", path, path)]
        searched_fields += [("header", name, value) for name, value in headers]
        searched_fields += [("body", name, value) for name, value in fields]
        text = raw_body.decode(errors="replace")
        for watched_value in self.watched_values:
            for where, name, value in [*searched_fields, ("text", "", text)]:
                if watched_value in value or watched_value in unquote(value):
                    self._suspect(request_id, where, name, watched_value)
        for where, name, value in searched_fields:
            if is_suspect(name if where != "path" else "", value):
                self._suspect(request_id, where, name, value)

    def _suspect(self, request_id: str, where: str, name: str, value: str) -> None:
        self.suspects.append(
            {"request_id": request_id, "where": where, "name": name, "value": value}
        )


def is_suspect(name: str, value: str) -> bool:
    """Return whether the name or the value of a field suggests a credential."""
    last = name.rsplit(".", 1)[-1]
    if last.lower() in _ALLOWED_NAMES:
        return False
    return bool(_CREDENTIAL_NAMES.search(last) or _CREDENTIAL_VALUES.search(value))


def _leaf_fields(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, Mapping):
        for name, item in value.items():
            if path or name not in _NOT_SCANNED:
                yield from _leaf_fields(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from _leaf_fields(item, f"{path}.{number}")
    else:
        yield path, str(value)
