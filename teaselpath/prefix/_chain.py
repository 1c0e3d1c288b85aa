"""Prompt rendering and the hash chain over the blocks of a prompt."""

from collections.abc import Mapping
from hashlib import sha256
from typing import Any

HASH_BYTES = 16


def _content_text(content: Any) -> str:
    """Return the text of a message's content, which is a string or a list of typed parts."""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return "".join(_part_text(part) for part in content)
    return ""


def _part_text(part: Any) -> str:
    if isinstance(part, str):
        return part
    if isinstance(part, Mapping) and isinstance(part.get("text"), str):
        return part["text"]
    return ""


def _utf8(text: str) -> bytes:
    # JSON strings may contain lone surrogates, which strict UTF-8 cannot encode.
    return text.encode("utf-8", "surrogatepass")


def render_prompt(body: Mapping[str, Any]) -> bytes:
    """Render the prompt of a chat or completion request in the same way as the engines.

    :param body: parsed JSON body; each of its ``messages`` becomes ``role LF content LF``; without
        ``messages``, ``prompt`` (a string or a list of strings) is used unchanged.
    :returns: UTF-8 text; empty for a body without a prompt.
    """
    messages = body.get("messages")
    if isinstance(messages, list):
        rows = [row for row in messages if isinstance(row, Mapping)]
        return b"".join(
            _utf8(f"{row.get('role', '')}\n{_content_text(row.get('content'))}\n") for row in rows
        )
    return _utf8(_content_text(body.get("prompt")))


def chain_seed(workspace: str, model: str, weights: str) -> bytes:
    """Return the chain seed, which differs between workspaces, models and weights versions.

    :raises ValueError: if an argument contains a zero byte, which is the separator.
    """
    parts = (workspace, model, weights)
    if any("\0" in part for part in parts):
        raise ValueError("workspace, model and weights must not contain a zero byte")
    return sha256("\0".join(parts).encode()).digest()[:HASH_BYTES]


def chain_hashes(text: bytes, seed: bytes, block_bytes: int) -> list[bytes]:
    """Return one 16-byte hash per full block; each covers the text up to the end of its block.

    :param block_bytes: block size in bytes; a partial last block has no hash.
    """
    if block_bytes <= 0:
        raise ValueError(f"block_bytes must be positive, got {block_bytes}")
    view = memoryview(text)
    hashes: list[bytes] = []
    previous = seed
    for end in range(block_bytes, len(text) + 1, block_bytes):
        digest = sha256(previous)
        digest.update(view[end - block_bytes : end])
        previous = digest.digest()[:HASH_BYTES]
        hashes.append(previous)
    return hashes
