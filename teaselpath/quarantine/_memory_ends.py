"""Ends of engines that their memory explains."""

from collections import OrderedDict

# Fraction of its memory that an engine holds from which its memory explains its end: what gateways
# know of each other's requests is not exact.
FULL_FRACTION = 0.9
# Ends that memory explains within a time in seconds; more of them have another cause, since no
# engine is filled beyond its memory knowingly.
MAX_EXPLAINED = 3
WINDOW_S = 60.0


class MemoryEnds:
    """Tells ends of engines whose memory was nearly full from those that a request has caused.

    Trials count as evidence all the same: their engines run few other requests.

    :ivar explained: time of each explained end, by number of the engine's start.
    """

    def __init__(self) -> None:
        self.explained: OrderedDict[int, float] = OrderedDict()

    def explains(self, number: int, held_fraction: float, at: float) -> bool:
        """Return whether an engine ended because of its memory, so that no request is to blame.

        :param held_fraction: fraction of its memory that its requests held, as far as is known.
        """
        if held_fraction < FULL_FRACTION:
            return False
        while self.explained and at - next(iter(self.explained.values())) > WINDOW_S:
            self.explained.popitem(last=False)
        if number not in self.explained and len(self.explained) >= MAX_EXPLAINED:
            return False
        self.explained.setdefault(number, at)
        return True
