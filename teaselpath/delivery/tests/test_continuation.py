"""Tests that a broken and continued stream equals an unbroken one for the caller."""

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.delivery import ContinuedStream, EventAligner, SseParser, check_continuable
from teaselpath.results import Code

WORDS = ["eins", "zwei", "drei", "vier", "fünf"]
PROMPT = "count"
BODIES: dict[str, dict[str, Any]] = {
    "/v1/completions": {"prompt": PROMPT, "max_tokens": 5, "stream": True},
    "/v1/chat/completions": {
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": 5,
        "stream": True,
    },
}


def engine_events(path, body, run="1"):
    """Return the event stream of an engine with greedy decoding for a request body."""
    if path == "/v1/completions":
        done = body["prompt"].removeprefix(PROMPT)
        deltas: list[dict[str, Any]] = []
    else:
        done = "".join(m["content"] for m in body["messages"] if m["role"] == "assistant")
        deltas = [{"delta": {"role": "assistant", "content": ""}}]
    skipped = next(n for n in range(6) if "".join(WORDS[:n]) == done)
    words = WORDS[skipped : skipped + body["max_tokens"]]
    is_chat = path != "/v1/completions"
    deltas += [{"delta": {"content": word}} if is_chat else {"text": word} for word in words]
    deltas[-1]["finish_reason"] = "length"
    usage = {"prompt_tokens": 7 + skipped, "completion_tokens": len(words), "total_tokens": 12}
    events = [{"id": run, "created": int(run), "choices": [{"index": 0, **d}]} for d in deltas]
    events.append({"id": run, "created": int(run), "choices": [], "usage": usage})
    encoded = [msgspec.json.encode(event) for event in events] + [b"[DONE]"]
    return b"".join(b"data: " + event + b"\r\n\r\n" for event in encoded)


def decode_events(data):
    events = SseParser().feed(data).unwrap()
    return [event if event == b"[DONE]" else msgspec.json.decode(event) for event in events]


@pytest.mark.parametrize("path", BODIES)
def test_stream_broken_at_any_byte_equals_the_unbroken_stream(path):
    """Guards against lost or duplicated text between runs, and a second role or [DONE]."""
    complete = engine_events(path, BODIES[path])
    for cut in range(len(complete)):
        stream = ContinuedStream(path, BODIES[path])
        out = stream.feed(complete[:cut]).unwrap()
        while not stream.is_done:
            stream.begin_next_run()
            if (body := stream.continuation_body()) is None:
                out += stream.finish()
                continue
            out += stream.feed(engine_events(path, body, run="2")).unwrap()
        events = decode_events(out)
        # The caller sees the id of the first run of which an event arrived.
        expected = decode_events(engine_events(path, BODIES[path], events[0]["id"]))
        # Without the usage event of the broken run, its prompt tokens are not known.
        if len(events) < len(expected):
            expected = [e for e in expected if not isinstance(e, dict) or "usage" not in e]
        assert events == expected


@pytest.mark.parametrize("path", BODIES)
def test_two_breaks_sum_the_usage(path):
    """Guards against tokens of earlier runs that are counted as prompt or not counted."""
    stream = ContinuedStream(path, BODIES[path])
    out = b""
    for run in "12":
        events = engine_events(path, stream.continuation_body(), run).split(b"\r\n\r\n")
        kept = 2 if path == "/v1/completions" else 3
        out += stream.feed(b"\r\n\r\n".join(events[:kept]) + b"\r\n\r\n{half").unwrap()
        stream.begin_next_run()
    out += stream.feed(engine_events(path, stream.continuation_body(), "3")).unwrap()
    events = decode_events(out)
    assert events == decode_events(engine_events(path, BODIES[path]))


@given(st.data())
def test_fragments_give_the_same_events(data):
    """Guards against an event that is lost or split at the boundary of two network reads."""
    lines = st.sampled_from([b"data: a", b"data:b", b"", b": note", b"data", b"id: 1", b"x" * 20])
    ends = st.sampled_from([b"\n", b"\r", b"\r\n"])
    raw = b"".join(line + end for line, end in data.draw(st.lists(st.tuples(lines, ends))))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)))))
    parser = SseParser()
    boundaries = zip([0, *cuts], [*cuts, len(raw)], strict=True)
    parts = [event for a, b in boundaries for event in parser.feed(raw[a:b]).unwrap()]
    assert parts == SseParser().feed(raw).unwrap()


@given(st.lists(st.binary(max_size=40)))
def test_malformed_bytes_do_not_raise(parts):
    """Guards against an exception in the entry on a malformed stream of an endpoint."""
    stream = ContinuedStream("/v1/completions", BODIES["/v1/completions"])
    for part in [b"data: ", *parts, b"\n\n", b"data: " + b"[" * 5000 + b"\n\n"]:
        stream.feed(part)


@pytest.mark.parametrize("part", [b"x" * 7, b"data: y\n"])
def test_long_lines_and_events_fail(part):
    """Guards against unbounded memory use by a line or event that never ends."""
    parser = SseParser(max_line_bytes=50, max_event_bytes=50)
    results = [parser.feed(part) for _ in range(40)]
    assert results[0].is_ok()
    assert results[-1].unwrap_err().code is Code.ENDPOINT_PROTOCOL


def test_events_before_a_fault_are_delivered():
    """Guards against a continuation from other text than was delivered."""
    stream = ContinuedStream("/v1/completions", BODIES["/v1/completions"])
    good = b'data: {"id": "1", "choices": [{"text": "eins"}]}\n\n'
    assert stream.feed(good + b'data: {"error": {}}\n\n').unwrap() == good
    failure = stream.check_complete()
    assert failure is not None
    assert failure.code is Code.ENDPOINT_FAILED
    assert stream.feed(b"\n").unwrap_err().code is Code.ENDPOINT_FAILED
    stream.begin_next_run()
    assert stream.continuation_body() == {
        "prompt": PROMPT + "eins",
        "max_tokens": 4,
        "stream": True,
    }


@pytest.mark.parametrize(
    "change", [{"n": 2}, {"stream": False}, {"prompt": ["a"]}, {"echo": True}, {"tools": [{}]}]
)
def test_answers_that_are_not_one_text_are_not_continued(change):
    """Guards against a continuation whose result would differ from the unbroken answer."""
    body = BODIES["/v1/completions"]
    assert check_continuable("/v1/completions", body) == ""
    assert check_continuable("/v1/completions", {**body, **change}) != ""
    assert check_continuable("/v1/embeddings", body) != ""


def test_aligned_chunks_contain_complete_events_and_get_an_id():
    """Guards against a caller that resumes in the middle of an event."""
    for end in (b"\n\n", b"\r\n\r\n", b"\r\r"):
        raw = b'data: {"choices": [{"text": "a"}]}' + end + b'data: {"choices": []}' + end
        aligner = EventAligner()
        parts = [part for byte in raw if (part := aligner.feed(bytes([byte])))]
        assert parts == [event + end for event in raw.split(end)[:-1]]
        stream = ContinuedStream("/v1/completions", BODIES["/v1/completions"])
        out = [stream.feed(part, f"1.{n}").unwrap() for n, part in enumerate(parts, 1)]
        assert out[0] == b'data: {"choices": [{"text": "a"}]}\nid: 1.1\n\n'
    assert EventAligner(max_tail_bytes=5).feed(b"x" * 9) == b"x" * 9
