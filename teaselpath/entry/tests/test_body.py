"""Response bodies for fragmented chunks, broken streams and continued streams."""

from itertools import pairwise

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.bundle import ModelSpec, RequestClass
from teaselpath.entry._body import AnswerBody
from teaselpath.entry._call import Call
from teaselpath.wire import Chunk

CLASS = RequestClass(id="interactive", priority=0, deadline_ms=1000, max_wait_ms=100)


def make_call(stream):
    body = {"model": "m", "prompt": "one ", "max_tokens": 6, "stream": stream}
    return Call(
        workspace="w",
        key_digest=b"",
        request_class=CLASS,
        method="POST",
        path="/v1/completions",
        body=orjson.dumps(body),
        headers=[],
        stream=stream,
        repeatable=True,
        charge=10,
        model=ModelSpec(id="m", weights="w1"),
    )


def event(text, finish=None):
    choice = {"index": 0, "text": text, "finish_reason": finish}
    return b"data: " + orjson.dumps({"id": "a", "choices": [choice]}) + b"\n\n"


DONE = b"data: [DONE]\n\n"
WHOLE = b"".join([*(event(f"t{n} ") for n in range(5)), event("end", "stop"), DONE])


def chunks(data, cuts, attempt=1):
    """Split data at the given offsets into numbered chunks."""
    offsets = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    parts = [data[a:b] for a, b in pairwise(offsets)]
    return [
        Chunk("r", attempt, number, part, 200 if number == 1 else 0, [])
        for number, part in enumerate(parts, 1)
    ]


@given(st.lists(st.integers(0, len(WHOLE)), max_size=30))
def test_events_are_forwarded_whole_for_any_fragmentation(cuts):
    """Guards against lost or reordered bytes, and against a partial event at a break."""
    body = AnswerBody(make_call(stream=True))
    out = [body.handle_chunk(chunk) for chunk in chunks(WHOLE, cuts)]
    assert all(not part or part.endswith(b"\n\n") for part in out)
    assert b"".join(out) + body.complete() == WHOLE


@given(st.integers(0, len(WHOLE) - len(DONE) - 1))
def test_broken_stream_continues_after_the_delivered_text(cut):
    """Guards against a continued stream that repeats or skips text."""
    body = AnswerBody(make_call(stream=True))
    first = body.handle_chunk(Chunk("r", 1, 1, WHOLE[:cut], 200, []))
    assert body.start_continuation()
    continuation = orjson.loads(body.body or make_call(stream=True).body)
    delivered = continuation["prompt"].removeprefix("one ")
    count = delivered.count(" ")
    rest = b"".join([*(event(f"t{n} ") for n in range(count, 5)), event("end", "stop"), DONE])
    second = body.handle_chunk(Chunk("r", 2, 1, rest, 200, []))
    texts = [
        orjson.loads(line[6:])["choices"][0]["text"]
        for line in (first + second).split(b"\n")
        if line.startswith(b"data: {")
    ]
    assert "".join(texts) == "t0 t1 t2 t3 t4 end"
    assert (first + second).count(DONE) == 1


@pytest.mark.parametrize("status", [200, 500])
def test_plain_answer_is_held_back_until_it_is_complete(status):
    """Guards against sending part of an answer, after which a retry is no longer possible."""
    body = AnswerBody(make_call(stream=False))
    assert body.handle_chunk(Chunk("r", 1, 1, b'{"half', status, [])) == b""
    assert body.handle_chunk(Chunk("r", 2, 1, b'{"whole"', status, [])) == b""
    assert body.handle_chunk(Chunk("r", 2, 2, b": 1}", 0, [])) == b""
    assert body.complete() == b'{"whole": 1}'
