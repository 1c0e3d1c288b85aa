"""Duration of the long polls of a store's topics around outages.

A store that goes silent swallows polls without a reset, and so does a single connection that goes
silent while new ones work. A long poll that is sent again within the outage would hang beyond its
end, and hide the records that were written meanwhile. After a poll without an answer, the next ones
on its topic therefore return at once; the first answer after a loss ends the polls of other topics
that were sent before it.
"""


class TopicPolls:
    """Polls of several topics of one store.

    Times are in seconds, from one steady clock.

    :ivar in_flight: send time of the poll in flight by topic.
    :ivar unanswered: topics whose last poll had no answer.
    """

    def __init__(self) -> None:
        self.in_flight: dict[str, float] = {}
        self.unanswered: set[str] = set()
        self.is_lost = False

    def begin(self, topic: str, wait_s: float, now: float) -> float:
        """Record that a poll is being sent.

        :param wait_s: duration of the long poll in a calm store.
        :returns: duration for this poll; 0 to return at once.
        """
        self.in_flight[topic] = now
        return 0.0 if topic in self.unanswered else wait_s

    def record_answer(self, topic: str, now: float) -> list[str]:
        """Record the answer to a poll.

        :returns: topics whose polls are to be ended and sent again.
        """
        answered_sent_at = self.in_flight.pop(topic, now)
        self.unanswered.discard(topic)
        if not self.is_lost:
            return []
        self.is_lost = False
        hanging = [
            other for other, sent_at in self.in_flight.items() if sent_at <= answered_sent_at
        ]
        for other in hanging:
            del self.in_flight[other]
            self.unanswered.add(other)
        return hanging

    def record_failure(self, topic: str) -> None:
        """Record that a poll had no answer or was refused."""
        self.in_flight.pop(topic, None)
        self.unanswered.add(topic)
        self.is_lost = True
