"""Virtual-time tags of start-time fair queueing."""


class FlowTags:
    """Tags of one flow: what it has been served, divided by its weight.

    :param weight: weight of the flow.
    :ivar start_tag: start tag of its next request.
    :ivar finish_tag: finish tag of its last one.
    """

    __slots__ = ("finish_tag", "start_tag", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.start_tag = 0.0
        self.finish_tag = 0.0

    def activate(self, virtual_time: float) -> None:
        """Restart at the virtual time or, if later, the finish tag, as requests arrive again."""
        self.start_tag = max(virtual_time, self.finish_tag)

    def charge(self, tokens: float) -> None:
        """Advance the tags by the tokens of a request that starts."""
        self.finish_tag = self.start_tag + tokens / self.weight
        self.start_tag = self.finish_tag

    def correct(self, token_difference: float) -> None:
        """Advance the tags by the difference between actual and estimated tokens."""
        self.finish_tag += token_difference / self.weight
        self.start_tag += token_difference / self.weight
