"""The publish command: append a signed record to the log and determine the outcome."""

import asyncio
from dataclasses import dataclass
from hashlib import sha256

import aiohttp
import click
from result import Err, Ok, Result

from teaselpath.bundle import (
    Accepted,
    BundleState,
    Rejected,
    Renewed,
    open_record,
    operator_public_key,
)
from teaselpath.cli._common import (
    EXIT_FAULTS,
    EXIT_OK,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    fail,
    json_option,
    key_option,
    log_option,
    read_file,
    read_key,
    run,
)
from teaselpath.cli._tables import print_rows
from teaselpath.clients import LogClient, Trimmed
from teaselpath.results import Code, Failure
from teaselpath.wire import SignedRecord

CONFIG_STREAM = "config"
READ_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.5
EXIT_CODES = {"accepted": EXIT_OK, "rejected": EXIT_FAULTS, "unknown": EXIT_UNKNOWN}


@dataclass(slots=True, frozen=True)
class PublishOutcome:
    """Outcome of publishing a record.

    :param result: ``accepted``, ``rejected`` or ``unknown``.
    """

    result: str
    offset: int | None
    version: int
    reason: str = ""


async def read_decisions(
    client: LogClient, state: BundleState, deadline: float
) -> Result[dict[int, Accepted | Rejected | Renewed], Failure]:
    """Read the log up to its end and return the decision at each offset."""
    decisions: dict[int, Accepted | Rejected | Renewed] = {}
    now = asyncio.get_running_loop().time
    while True:
        page = await client.read(
            CONFIG_STREAM, state.next_offset, min(deadline, now() + READ_TIMEOUT_S)
        )
        if page.is_err():
            return Err(page.unwrap_err())
        reply = page.unwrap()
        if isinstance(reply, Trimmed):
            state.skip_to(reply.first)
            continue
        state.skip_to(reply.first)
        events = []
        for record in reply.records:
            events += state.handle(SignedRecord(record.offset, record.data), now())
        if state.next_offset >= reply.next or not reply.records:
            events += state.recover_from_pending(now()) if state.has_gap else []
            decisions |= {e.offset: e for e in events if not hasattr(e, "key_digest")}
            return Ok(decisions)
        decisions |= {e.offset: e for e in events if not hasattr(e, "key_digest")}


async def publish_record(
    client: LogClient, data: bytes, operator_keys: list[bytes], deadline: float
) -> Result[PublishOutcome, Failure]:
    """Append a record unless the log already contains it, and read until its outcome is known.

    If the reply to an append is lost, the outcome is determined by reading the log, without a
    second append. An append that failed with any other code is retried until the deadline.
    """
    now = asyncio.get_running_loop().time
    state = BundleState(operator_keys)
    digest = sha256(open_record(data, operator_keys).unwrap().payload).digest()
    before = await read_decisions(client, state, deadline)
    if before.is_err():
        return Err(before.unwrap_err())
    outcome = _find_outcome(before.unwrap(), digest)
    last_failure = Failure(Code.APPEND_UNKNOWN, "the deadline has passed")
    has_appended = False
    while outcome is None and now() < deadline:
        if not has_appended:
            appended = await client.append(CONFIG_STREAM, data, deadline)
            last_failure = appended.err() or last_failure
            # An append whose reply was lost may still take effect, so it is not retried.
            has_appended = appended.is_ok() or last_failure.code is Code.APPEND_UNKNOWN
        read = await read_decisions(client, state, deadline)
        outcome = _find_outcome(read.unwrap(), digest) if read.is_ok() else None
        if outcome is None:
            await asyncio.sleep(min(RETRY_INTERVAL_S, max(0.0, deadline - now())))
    if outcome is not None:
        return Ok(outcome)
    if not has_appended:
        return Err(last_failure)
    return Ok(PublishOutcome("unknown", None, 0, last_failure.detail))


def _find_outcome(
    decisions: dict[int, Accepted | Rejected | Renewed], digest: bytes
) -> PublishOutcome | None:
    for offset, event in sorted(decisions.items()):
        if isinstance(event, Accepted) and event.digest == digest:
            return PublishOutcome("accepted", offset, event.version)
        if isinstance(event, Rejected) and event.digest == digest:
            return PublishOutcome("rejected", offset, event.version, str(event.failure))
    return None


@click.command()
@click.argument("record", type=click.Path())
@log_option
@key_option
@click.option(
    "--trusted", multiple=True, help="Public key of another trusted operator, in hexadecimal."
)
@click.option("--timeout", default=20.0, show_default=True, help="Seconds to wait for the outcome.")
@json_option
def publish(
    record: str,
    log_url: str,
    operator_key: str,
    trusted: tuple[str, ...],
    timeout: float,
    as_json: bool,
) -> None:
    """Append the signed RECORD to the log and report accepted, rejected or unknown."""
    data = read_file(record)
    try:
        others = [bytes.fromhex(key) for key in trusted]
    except ValueError:
        raise click.UsageError("--trusted expects hexadecimal digits") from None
    keys = [operator_public_key(read_key(operator_key)), *others]
    opened = open_record(data, keys)
    if opened.is_err():
        fail(EXIT_FAULTS, str(opened.unwrap_err()))

    async def append(
        session: aiohttp.ClientSession, deadline: float
    ) -> Result[PublishOutcome, Failure]:
        return await publish_record(LogClient(session, log_url), data, keys, deadline)

    published = run(append, timeout)
    if published.is_err():
        fail(EXIT_UNREACHABLE, str(published.unwrap_err()))
    outcome = published.unwrap()
    row = (outcome.result, outcome.version, outcome.offset, outcome.reason)
    print_rows(as_json, ("result", "version", "offset", "reason"), [row])
    raise SystemExit(EXIT_CODES[outcome.result])
