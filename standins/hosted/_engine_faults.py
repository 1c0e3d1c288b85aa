"""Faults of the simulated engines."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineFaults:
    """Faults of an engine; each value is the probability with which it affects a request.

    :param errors: replies with status 500.
    :param sheds: replies with status 503 without running the request.
    :param cuts: closes the connection before the end of the answer; a stream ends in the middle
        of an event.
    :param extra: sends a second, unsolicited answer with another request id after the first.
    :param lost: runs the request and closes the connection without an answer.
    :param mute: runs the request and holds back the answer for 60 s.
    :param encoded: replies with a compressed body, as a proxy in front of the engine would.
    :param stalls: sends the first event of a stream and then a comment now and then, without end.
    :param floods: sends bytes without end: in the head, or after the first event of a stream.
    :param slow: begins the answer ``SLOW_START_S`` late.
    :param unframed: replies with neither a length nor chunks; the answer ends with its connection.
    :param restarts: begins a stream that is to be resumed with its first event.
    :param skips: resumes a stream one event too late, unless that event is the last.
    :param plain: answers with a document instead of resuming a stream.
    :param cut_heads: closes the connection within the head of the answer, or right after it.
    :param resets: if above 0, answers that are cut end with a reset, and so does half of each
        answer without framing.
    :param repeats: sends a refusal once more, with its id or without, ahead of the next answer on
        its connection.
    :param polls_unanswered: holds back the answer to a poll of cache events for 10 s.
    :param orders_unanswered: carries out an order, but holds back the reply for 10 s.
    """

    errors: float = 0.0
    sheds: float = 0.0
    cuts: float = 0.0
    extra: float = 0.0
    lost: float = 0.0
    mute: float = 0.0
    encoded: float = 0.0
    stalls: float = 0.0
    floods: float = 0.0
    slow: float = 0.0
    unframed: float = 0.0
    restarts: float = 0.0
    skips: float = 0.0
    plain: float = 0.0
    cut_heads: float = 0.0
    resets: float = 0.0
    repeats: float = 0.0
    polls_unanswered: float = 0.0
    orders_unanswered: float = 0.0
