"""Tests of prompt rendering and of the hash chain."""

from hashlib import sha256

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.prefix import chain_hashes, chain_seed, render_prompt

# Replaced by the test of the check.
seed_function = chain_seed
NAMES = st.text(st.characters(exclude_characters="\0", exclude_categories=["Cs"]), max_size=6)


def test_chat_and_completion_bodies_render_as_engines_do() -> None:
    """Guards against a router chain that matches no engine's chain."""
    parts = [{"type": "text", "text": "b"}, {"type": "image_url"}, {"type": "text", "text": "c"}]
    body = {"messages": [{"role": "system", "content": "a"}, {"role": "user", "content": parts}]}
    assert render_prompt(body) == b"system\na\nuser\nbc\n"
    assert render_prompt({"prompt": "x\ud800"}) == b"x\xed\xa0\x80"
    assert render_prompt({}) == b""


def test_chain_follows_the_published_formula() -> None:
    """Guards against a formula that differs from the engines'."""
    seed = sha256(b"w\0m\0v").digest()[:16]
    assert chain_seed("w", "m", "v") == seed
    first = sha256(seed + b"ab").digest()[:16]
    assert chain_hashes(b"abcde", seed, 2) == [first, sha256(first + b"cd").digest()[:16]]


def test_check_finds_a_seed_without_the_weights(monkeypatch) -> None:
    """Checks that the separation test fails for a known bug: a seed without the weights version."""
    monkeypatch.setitem(
        globals(), "seed_function", lambda one, two, three: chain_seed(one, two, "")
    )
    with pytest.raises(AssertionError):
        test_chains_with_different_seeds_share_no_hash()


@given(st.tuples(NAMES, NAMES, NAMES), st.tuples(NAMES, NAMES, NAMES), st.binary(min_size=4))
def test_chains_with_different_seeds_share_no_hash(one, two, text) -> None:
    """Guards against a match with a block of another workspace, model or weights version."""
    chains = [set(chain_hashes(text, seed_function(*seed_parts), 4)) for seed_parts in (one, two)]
    assert (one == two) or not chains[0] & chains[1]


@given(st.binary(max_size=40), st.binary(max_size=40), st.integers(1, 8))
def test_common_hashes_are_exactly_the_common_prefix(one, two, size) -> None:
    """Guards against a match beyond the first differing byte."""
    chains = [chain_hashes(text, b"s" * 16, size) for text in (one, two)]
    same = 0
    while (
        len(one) >= (same + 1) * size <= len(two)
        and one[: (same + 1) * size] == two[: (same + 1) * size]
    ):
        same += 1
    assert chains[0][:same] == chains[1][:same]
    assert not set(chains[0][same:]) & set(chains[1][same:])


def test_separator_in_a_name_is_rejected() -> None:
    """Guards against equal seeds: ("a<NUL>b", "c", "v") would equal ("a", "b<NUL>c", "v")."""
    with pytest.raises(ValueError):
        chain_seed("a\0b", "c", "v")
