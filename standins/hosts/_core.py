"""Host list whose changes become visible with a delay."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class HostListCore:
    """Hosts by name, and the pending changes."""

    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: deque[tuple[float, str, dict[str, Any] | None]] = field(default_factory=deque)

    def schedule_change(self, host: str, entry: dict[str, Any] | None, visible_at: float) -> None:
        """Set or, with ``None``, remove an entry; changes become visible in submission order."""
        if self.changes:
            visible_at = max(visible_at, self.changes[-1][0])
        self.changes.append((visible_at, host, entry))

    def read_hosts(self, now: float) -> list[dict[str, Any]]:
        """Apply the changes that are due, and return the visible list."""
        while self.changes and self.changes[0][0] <= now:
            _, host, entry = self.changes.popleft()
            if entry is None:
                self.hosts.pop(host, None)
            else:
                self.hosts[host] = {**self.hosts.get(host, {}), **entry, "host": host}
        return list(self.hosts.values())
