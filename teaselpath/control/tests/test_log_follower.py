"""A follower of a log that was restored from a copy, and has lost records."""

import asyncio
from typing import Any, cast

import pytest
from result import Ok

from teaselpath.clients import LogPage, LogRecord
from teaselpath.control import LogFollower


class LogCopies:
    """Log client whose records can be cut back to those of a copy."""

    def __init__(self) -> None:
        self.records = [LogRecord(n, b"%d" % n, 0) for n in range(5)]

    async def read(self, stream, start, deadline, *, wait_ms):
        """Return the records from an offset."""
        return Ok(LogPage(0, len(self.records), self.records[start:]))


@pytest.fixture
def log() -> LogCopies:
    return LogCopies()


def follow(log: LogCopies) -> LogFollower:
    client = cast(Any, log)
    return LogFollower(client, "claims.s", lambda _: None, lambda _: None, lambda _: None, 1000)


def read(follower: LogFollower) -> bool:
    follower.is_up = asyncio.run(follower._read_once())
    return follower.is_up


def test_follower_of_a_shorter_log_has_not_caught_up(log):
    """It would wait behind its offset, and miss all records until then without a sign."""
    follower = follow(log)
    assert read(follower)
    assert follower.is_caught_up
    del log.records[2:]
    assert not read(follower)
    assert not follower.is_caught_up


def test_follower_reads_on_after_records_it_has(log):
    follower = follow(log)
    assert read(follower)
    assert read(follower)
    assert follower.is_caught_up
