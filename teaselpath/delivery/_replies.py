"""Messages with which the agent replies about an attempt."""

from teaselpath.delivery._record import Key
from teaselpath.results import Code, Ran
from teaselpath.wire import Cancelled, End, Refused, Send


def reply_chunks(reply: End | Refused) -> int:
    """Return the number of chunks of the finished stream; 0 for a refusal."""
    return reply.chunks if isinstance(reply, End) else 0


def cancelled_reply(key: Key, ran: Ran) -> Cancelled:
    return Cancelled(*key, ran is not Ran.NOT_RUN, ran)


def expired_reply(key: Key, last_discarded: int, ran: Ran) -> End:
    """Report that the chunks up to ``last_discarded`` are no longer available.

    An entry that has received them all ignores the message.
    """
    return End(*key, last_discarded, Code.BUFFER_EXPIRED, ran, detail="the buffer was dropped")


def end_reply(host: str, key: Key, code: Code, ran: Ran, detail: str) -> Send:
    return Send(host, End(*key, 0, code, ran, detail=detail))


def wrong_workspace_reply(host: str, key: Key) -> Send:
    detail = "the request belongs to another workspace"
    return end_reply(host, key, Code.WRONG_WORKSPACE, Ran.UNKNOWN, detail)
