"""Origins of streams: the software version at which each began.

Times are in seconds, from the steady clock of this gateway.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from teaselpath.utils import hash_fields, rendezvous_top

# Streams whose origins are kept, the most recent ones.
MAX_ORIGINS = 65_536
KEY_BYTES = 8
# Gateways up to which each of them is told of each stream, and those that are told in larger
# fleets. Further ones are asked, since gateways may know different members.
MAX_TOLD_GATEWAYS = 12
HOLDERS = 3
ASKED_HOLDERS = 6


def stream_key(service: str, workspace: str, request_id: str) -> int:
    """Return the key of the stream whose first event came for a request of a workspace."""
    fields = [field.encode("utf-8", "surrogatepass") for field in (service, workspace, request_id)]
    return int.from_bytes(hash_fields(fields, KEY_BYTES), "big")


def choose_holders(key: int, hosts: Iterable[str], *, is_query: bool = False) -> list[str]:
    """Return the gateways that are told of a stream, or asked about it.

    :param hosts: the other gateways.
    """
    others = list(hosts)
    if len(others) <= MAX_TOLD_GATEWAYS:
        return others
    count = ASKED_HOLDERS if is_query else HOLDERS
    return rendezvous_top(key.to_bytes(KEY_BYTES, "big"), others, count)


@dataclass(slots=True, frozen=True)
class Origin:
    """Where a stream began.

    :param version: software version of the engine; None if it is not known.
    :param expires_at: time from which it is no longer taken up, in seconds.
    """

    service: str
    version: str | None
    expires_at: float


class OriginTable:
    """Origins by key of the stream."""

    def __init__(self) -> None:
        self.origins: OrderedDict[int, Origin] = OrderedDict()

    def record(self, key: int, origin: Origin) -> None:
        """Record the origin of a stream; what was recorded first stays."""
        self.origins.setdefault(key, origin)
        if len(self.origins) > MAX_ORIGINS:
            self.origins.popitem(last=False)

    def get(self, key: int, now: float) -> Origin | None:
        """Return the origin of a stream; None if it is unknown."""
        origin = self.origins.get(key)
        return origin if origin is not None and origin.expires_at > now else None

    def expire(self, now: float) -> None:
        """Forget streams that are no longer taken up."""
        for key in [key for key, origin in self.origins.items() if origin.expires_at <= now]:
            del self.origins[key]
