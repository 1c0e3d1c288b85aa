"""Choice of the gateways that a message is sent to, and of those that read the store.

In a small fleet each gateway sends everything to each other one, and reads the store itself. Both
grow with the square of the fleet, or load links and the store once per gateway. In a large fleet:

- A status message goes to all gateways of the own region, less often the more there are. For each
  other region it goes to one gateway, the relay, which passes it on to its region.
- Each gateway chooses its relays by rendezvous hash among the reachable gateways, so that relaying
  is spread evenly and a relay that is lost is replaced.
- A few gateways of each failure domain, the readers, follow the store; the others receive records
  from them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from teaselpath.utils import rendezvous_top

# Number of other gateways from which a fleet counts as large.
LARGE_FLEET_MIN_PEERS = 12
# Interval between status messages within a region, in seconds, if it has few gateways.
STATUS_INTERVAL_S = 0.2
# The interval grows by one STATUS_INTERVAL_S with each further number of gateways in the region.
PEERS_PER_STATUS_INTERVAL = 24
# Longest interval, in seconds. A gateway counts as unreachable after three of them.
MAX_STATUS_INTERVAL_S = 0.8
# Interval between status messages to another region, in seconds.
CROSS_REGION_INTERVAL_S = 1.0
# Gateways per failure domain that follow the store in a large fleet.
READERS_PER_DOMAIN = 2


@dataclass(slots=True, frozen=True)
class Peer:
    """Another gateway, as a target of messages.

    :param region: region of its host; empty if unknown.
    :param is_reachable: whether a message of it arrived recently.
    """

    host: str
    ip: str
    region: str
    is_reachable: bool


@dataclass(slots=True, frozen=True)
class Fanout:
    """Targets of a message, as IP addresses.

    :param direct: gateways that receive it.
    :param relays: gateways that receive it and pass it on to their region.
    """

    direct: frozenset[str]
    relays: frozenset[str]


def is_large_fleet(peer_count: int) -> bool:
    """Return whether a gateway with this number of other gateways belongs to a large fleet."""
    return peer_count >= LARGE_FLEET_MIN_PEERS


def status_interval_s(region_peer_count: int) -> float:
    """Return the interval between status messages within a region, in seconds."""
    steps = 1 + region_peer_count // PEERS_PER_STATUS_INTERVAL
    return min(MAX_STATUS_INTERVAL_S, steps * STATUS_INTERVAL_S)


def plan_fanout(
    peers: Iterable[Peer], host: str, region: str, *, crosses_regions: bool, is_urgent: bool = False
) -> Fanout:
    """Return the targets of a status message.

    Gateways whose region is unknown count as those of the own region.

    :param host: name of the own host.
    :param region: own region.
    :param crosses_regions: whether the message is also sent to other regions.
    :param is_urgent: whether each gateway should receive it at once and without a relay.
    """
    peers = list(peers)
    near = frozenset(peer.ip for peer in peers if peer.region in (region, ""))
    far = [peer for peer in peers if peer.region not in (region, "")]
    if not crosses_regions:
        return Fanout(near, frozenset())
    if is_urgent or not is_large_fleet(len(peers)):
        return Fanout(near | {peer.ip for peer in far}, frozenset())
    return Fanout(near, select_relays(far, host))


def select_relays(far: Iterable[Peer], host: str) -> frozenset[str]:
    """Return the relays of a gateway, one for each other region, by IP address.

    :param far: gateways of other regions; unreachable ones are chosen only if all are.
    :param host: name of the own host.
    """
    by_region: dict[str, list[Peer]] = {}
    for peer in far:
        by_region.setdefault(peer.region, []).append(peer)
    relays = set()
    for group in by_region.values():
        ips = {peer.host: peer.ip for peer in group if peer.is_reachable}
        ips = ips or {peer.host: peer.ip for peer in group}
        relays.add(ips[rendezvous_top(host.encode(), ips, 1)[0]])
    return frozenset(relays)


def select_readers(domain: str, candidates: Iterable[str]) -> list[str]:
    """Return the gateways of a failure domain that follow the store, by host name.

    :param candidates: hosts of the domain whose gateway is reachable and reaches the store.
    """
    return rendezvous_top(domain.encode(), candidates, READERS_PER_DOMAIN)
