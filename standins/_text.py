"""Text model of the simulated engines: rendered prompts, tokens, and the block hash chain.

This is a second implementation of the router's formulas, independent of ``teaselpath.prefix``, so
that tests of the router against the stand-ins compare the two.
"""

from collections.abc import Iterator, Mapping
from hashlib import sha256
from typing import Any

import msgspec

BYTES_PER_TOKEN = 4
_LETTERS = "abcdefghijklmnopqrstuvwxyz"
_SYLLABLES = [a + b for a in _LETTERS for b in _LETTERS]
_STOP_RANGE = 1 << 16


def render_prompt(body: Mapping[str, Any]) -> str:
    """Return the text that the engine continues.

    A chat prompt is ``role LF content LF`` for each message, then ``assistant LF``, followed by
    the answer. With ``continue_final_message`` the trailing assistant message is left open
    instead, so that its continuation equals the answer generated without interruption.
    """
    if "messages" not in body:
        return _content_text(body.get("prompt"))
    messages = list(body["messages"])
    text = "".join(f"{m['role']}\n{_content_text(m.get('content'))}\n" for m in messages)
    if body.get("continue_final_message"):
        return text[:-1]
    return text + "assistant\n"


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return "".join(p if isinstance(p, str) else str(p.get("text", "")) for p in content)
    return "" if content is None else str(content)


def encode_text(text: str) -> bytes:
    """Return the UTF-8 bytes of a text; lone surrogates, which JSON allows, are preserved."""
    return text.encode("utf-8", "surrogatepass")


def count_tokens(byte_count: int) -> int:
    """Return the number of tokens in a text of ``byte_count`` bytes."""
    return -(-byte_count // BYTES_PER_TOKEN)


class TokenSource:
    """Generates the tokens that follow a text; each is a hash of all text before it.

    :param text: prompt and answer so far.
    :param stop_one_in: the answer ends with probability 1/N at each token; 0 for never.
    """

    def __init__(self, text: str, stop_one_in: int = 0) -> None:
        self.stop_one_in = stop_one_in
        self._hash = sha256(encode_text(text))

    def next(self) -> str | None:
        """Return the next token, or ``None`` at a natural end of the answer."""
        digest = self._hash.copy().digest()
        if self.stop_one_in:
            draw = int.from_bytes(digest[4:6], "big")
            if draw * self.stop_one_in < _STOP_RANGE:
                return None
        value = int.from_bytes(digest[:4], "big")
        token = _SYLLABLES[value % 676] + _LETTERS[value // 676 % 26] + " "
        self._hash.update(token.encode())
        return token


def expected_tokens(body: Mapping[str, Any], stop_one_in: int = 0) -> Iterator[str]:
    """Yield the tokens of the only correct answer to a request."""
    source = TokenSource(render_prompt(body), stop_one_in)
    for _ in range(int(body.get("max_tokens", 16))):
        token = source.next()
        if token is None:
            return
        yield token


def verify_answer(body: Mapping[str, Any], text: str, stop_one_in: int = 0) -> str:
    """Check that an answer is complete and correct.

    :returns: an empty string for the correct answer, or a description of the difference.
    """
    expected = "".join(expected_tokens(body, stop_one_in))
    if text == expected:
        return ""
    if expected.startswith(text):
        return f"answer ends after {len(text)} of {len(expected)} characters"
    if text.startswith(expected):
        return f"answer has {len(text) - len(expected)} characters too many"
    pairs = zip(text, expected, strict=False)
    position = next(i for i, (got, want) in enumerate(pairs) if got != want)
    return f"answer differs from character {position}"


def verify_call(path: str, body: Mapping[str, Any] | None, answer: str) -> str:
    """Check the answer to a call of an engine or of the plain service.

    :param path: path of the call.
    :param body: decoded body of the call.
    :param answer: text of the answer; for an engine, the generated text.
    :returns: an empty string for the correct answer, or a description of the difference.
    """
    if body is not None and path.endswith("/completions"):
        return verify_answer(body, answer)
    try:
        record = msgspec.json.decode(answer)
    except msgspec.DecodeError as error:
        return f"answer is not JSON: {error}"
    if not isinstance(record, dict):
        return "answer is not a record"
    if body is not None and record.get("value") != body:
        return "answer has the value of another call"
    if body is None and str(record.get("id")) != path.rsplit("/", 1)[-1]:
        return "answer is another record"
    return ""


def chain_block(parent: bytes, block: bytes) -> bytes:
    """Return the 16-byte chain hash of a block, given that of its parent."""
    return sha256(parent + block).digest()[:16]


def chain_hashes(text: bytes, seed: bytes, block_bytes: int) -> list[bytes]:
    """Return the hash chain over the full blocks of a text."""
    chain = []
    parent = seed
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        parent = chain_block(parent, text[start : start + block_bytes])
        chain.append(parent)
    return chain
