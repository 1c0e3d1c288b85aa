"""Client of the store: answers of another era than the one in which a call was made."""

import asyncio
import json
import struct
from typing import Any, cast

import pytest

from teaselpath.fleet import Position, StoreError, Topic
from teaselpath.http1 import Response, ResponseHead
from teaselpath.platform import PlatformStore

ADDRESS = "127.0.0.1:9"


class ScriptedHttp:
    """HTTP client that gives answers from a list, in order.

    :ivar targets: targets that were called, without their queries.
    """

    def __init__(self, *answers: Response):
        self.answers = list(answers)
        self.targets: list[bytes] = []

    async def call(self, address, method, target, **options):
        self.targets.append(target.partition(b"?")[0])
        return self.answers.pop(0)


def answer(era, body, status=200):
    headers = [] if era is None else [(b"Store-Era", era if type(era) is bytes else b"%d" % era)]
    return Response(ResponseHead(status, headers), body)


def listing(era, end, *keys, has_more=False):
    items = [{"key": key, "value": "eA==", "offset": n} for n, key in enumerate(keys)]
    return answer(era, json.dumps({"items": items, "end": end, "hasMore": has_more}).encode())


def records(era, *keys):
    contents = [bytes([len(key)]) + key.encode() + b"x" for key in keys]
    parts = [struct.pack(">I", len(content)) + content for content in contents]
    return answer(era, struct.pack(">QQ", 9, 0) + b"".join(parts))


def poll(start, *answers):
    """Return the page of one poll, and the targets that were called."""
    http = cast(Any, ScriptedHttp(*answers))
    page = asyncio.run(PlatformStore(ADDRESS, http).poll(Topic.OPERATORS, start, 1.0))
    return page, http.targets


def test_records_carry_the_era_of_the_answer():
    page, _ = poll(Position(2, 5), records(2, "a", "b"))
    assert [record.position for record in page.records] == [Position(2, 5), Position(2, 6)]
    assert page.end == Position(2, 7)


def test_read_that_is_answered_in_another_era_becomes_a_listing():
    page, targets = poll(Position(1, 5), records(2, "a"), listing(2, 7, "a", "b"))
    assert page.is_listing
    assert page.end == Position(2, 7)
    assert targets == [b"/-/log-read", b"/-/log-newest"]


def test_read_beyond_the_end_becomes_a_listing():
    page, _ = poll(Position(1, 50), answer(2, b'{"first":0}', 410), listing(2, 7, "a"))
    assert page.end == Position(2, 7)


def test_pages_of_one_listing_are_of_one_era():
    page, targets = poll(
        None,
        listing(1, 9, "a", "b", has_more=True),
        listing(2, 3, "c"),
        listing(2, 3, "a", has_more=True),
        listing(2, 4, "c"),
    )
    assert [record.key for record in page.records] == ["a", "c"]
    assert {record.position.era for record in page.records} == {2}
    assert page.end == Position(2, 3)
    assert len(targets) == 4


def test_listing_fails_if_the_era_changes_each_time():
    pages = [listing(era, 9, "a", has_more=True) for era in range(20)]
    with pytest.raises(StoreError):
        poll(None, *pages)


@pytest.mark.parametrize("era", [None, b"", b"two", b"-1", b"9" * 40])
def test_answer_without_a_readable_era_has_era_zero(era):
    page, _ = poll(None, listing(era, 7, "a"))
    assert page.end == Position(0, 7)


def append(end, *answers):
    store = PlatformStore(ADDRESS, cast(Any, ScriptedHttp(*answers)))
    return asyncio.run(store.append(Topic.LEASE, "orders", b"x", end))


def test_append_returns_the_end_with_its_era():
    assert append(Position(2, 4), answer(2, b'{"offset":4,"end":5}')) == Position(2, 5)
    assert append(None, answer(3, b'{"offset":4,"end":5}')) == Position(3, 5)


def test_outcome_of_an_append_that_another_era_has_accepted_is_unknown():
    with pytest.raises(StoreError) as caught:
        append(Position(1, 4), answer(2, b'{"offset":4,"end":5}'))
    assert caught.value.is_outcome_unknown
