"""Messages with which the agent replies about an attempt."""

from teaselpath.delivery._record import Key
from teaselpath.results import Code, Ran
from teaselpath.wire import Cancelled, End, Refused, Send


def answer_chunks(answer: End | Refused) -> int:
    return answer.chunks if isinstance(answer, End) else 0


def cancelled_answer(key: Key, ran: Ran) -> Cancelled:
    return Cancelled(*key, ran is not Ran.NOT_RUN, ran)


def expired_answer(key: Key, dropped: int, ran: Ran) -> End:
    """Report that the chunks up to a number were dropped; a stream past them is not affected."""
    return End(*key, dropped, Code.BUFFER_EXPIRED, ran, detail="the buffer was dropped")


def end_answer(host: str, key: Key, code: Code, ran: Ran, detail: str) -> Send:
    return Send(host, End(*key, 0, code, ran, detail=detail))


def wrong_workspace_answer(host: str, key: Key) -> Send:
    detail = "the request belongs to another workspace"
    return end_answer(host, key, Code.WRONG_WORKSPACE, Ran.UNKNOWN, detail)
