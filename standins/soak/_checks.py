"""Checks of the router's guarantees, from the records of callers and endpoints."""

from collections import Counter
from dataclasses import dataclass
from itertools import pairwise

from standins.hosted import ENGINE_TOKENS, Answer, HostedSite

REFUSED_STATUSES = (408, 421, 429, 503)
# Routes that all configurations have, and statuses that none of their requests may get.
ROUTES = ("review", "query", "pay", "lookup")
DENIED_STATUSES = (401, 403, 404)
# Kind of the requests that take up a stream of the first route.
TAKE_UP = "take-up"
# Attempt limit of the routes for idempotent requests.
MAX_ATTEMPTS = 2


@dataclass(slots=True)
class SentRequest:
    """A request sent by a caller, with its answer.

    :param kind: name of the route.
    :param key: API key that was sent.
    """

    kind: str
    tenant: str
    key: str
    began_at: float
    answer: Answer


def check_guarantees(
    site: HostedSite, requests: list[SentRequest], min_interval_s: float
) -> list[str]:
    """Return the violated guarantees, one line each.

    :param min_interval_s: minimum time between orders of two lease holders.
    """
    return [
        *_check_answers(site, requests),
        *_check_runs(site, requests),
        *_check_versions(site),
        *_check_orders(site, min_interval_s),
        *_check_memory(site),
    ]


def _check_answers(site: HostedSite, requests: list[SentRequest]) -> list[str]:
    ran = Counter(run.request_id for run in site.runs)
    broken = []
    for entry in requests:
        answer = entry.answer
        is_stream = entry.kind in ("review", "query", TAKE_UP)
        if fault := answer.fault(is_stream=is_stream):
            broken.append(f"wrong answer: {fault}")
        if entry.kind in ROUTES and answer.status in DENIED_STATUSES:
            broken.append(f"denied with {answer.status}: {answer.request_id}")
        runs = ran[answer.request_id]
        if entry.kind in ("pay", "query"):
            if runs > 1:
                broken.append(f"ran {runs} times: {answer.request_id}")
            if answer.status in REFUSED_STATUSES and runs:
                broken.append(f"refused with {answer.status} but ran: {answer.request_id}")
    return broken


def _check_runs(site: HostedSite, requests: list[SentRequest]) -> list[str]:
    by_id = {entry.answer.request_id: entry for entry in requests}
    ran = Counter((run.request_id, run.path) for run in site.runs)
    broken = [
        f"ran on {count} endpoints: {request_id}"
        for (request_id, _), count in ran.items()
        if count > MAX_ATTEMPTS
    ]
    scopes: dict[str | None, set[str]] = {}
    for run in site.runs:
        entry = by_id.get(run.request_id)
        if entry is None:
            broken.append(f"ran a request that nobody sent: {run.request_id}")
            continue
        if run.tenant != entry.tenant:
            broken.append(f"ran for {run.tenant}, not {entry.tenant}: {run.request_id}")
        if any(entry.key in value for value in run.headers.values()):
            broken.append(f"an endpoint saw the key of {run.request_id}")
        if run.stale_parts:
            broken.append(f"reused cache blocks of other weights: {run.request_id}")
        if run.scope:
            scopes.setdefault(run.tenant, set()).add(run.scope)
    isolated = {tenant.name for tenant in site.tenants if tenant.isolated}
    for name in isolated:
        for other in scopes.keys() - {name}:
            if scopes.get(name, set()) & scopes[other]:
                broken.append(f"{name} and {other} share a cache salt")
    return broken


def _check_versions(site: HostedSite) -> list[str]:
    """Check that streams go on only at the software version that began them."""
    begun: dict[str, object] = {}
    broken = []
    for run in site.runs:
        stream = run.headers.get("resumes", run.request_id)
        if "last-event-id" not in run.headers:
            begun[stream] = run.software
        elif begun.get(stream, run.software) != run.software:
            broken.append(f"{stream} of {begun[stream]} goes on at {run.software}")
    return broken


def _check_memory(site: HostedSite) -> list[str]:
    """Check that no engine was given more than its memory holds, where that is bounded."""
    if "pressure" not in site.contracts:
        return []
    return [
        f"{engine.endpoint_id} held {engine.most_held_tokens} tokens of {ENGINE_TOKENS}"
        for engine in site.all_engines
        if engine.most_held_tokens > ENGINE_TOKENS
    ]


def _check_orders(site: HostedSite, min_interval_s: float) -> list[str]:
    broken = []
    for engine in site.all_engines:
        for before, after in pairwise(engine.orders):
            if after.fence < before.fence:
                broken.append(f"{engine.endpoint_id}: fencing token went backwards")
            if after.holder != before.holder:
                if after.fence == before.fence:
                    broken.append(f"{engine.endpoint_id}: two holders with one token")
                if after.at - before.at < min_interval_s:
                    broken.append(
                        f"{engine.endpoint_id}: orders of two holders too soon after each other"
                    )
    return broken
