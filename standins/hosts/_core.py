"""Host list whose changes become visible late."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class HostListCore:
    """Hosts by name, and the changes that are not visible yet."""

    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: deque[tuple[float, str, dict[str, Any] | None]] = field(default_factory=deque)

    def change(self, host: str, entry: dict[str, Any] | None, visible_at: float) -> None:
        """Set an entry, or remove it with ``None``; changes become visible in their order."""
        if self.changes:
            visible_at = max(visible_at, self.changes[-1][0])
        self.changes.append((visible_at, host, entry))

    def visible(self, now: float) -> list[dict[str, Any]]:
        """Return the list as a reader sees it."""
        while self.changes and self.changes[0][0] <= now:
            _, host, entry = self.changes.popleft()
            if entry is None:
                self.hosts.pop(host, None)
            else:
                self.hosts[host] = {**self.hosts.get(host, {}), **entry, "host": host}
        return list(self.hosts.values())
