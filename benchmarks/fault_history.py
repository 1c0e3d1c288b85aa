"""History of the fault run: what callers, engines and services saw, as events.

Each execution has the instant at which its request reached the stand-in. The workspace of a run at
an engine is found by the cache salt; a service sees no workspace, so that of the caller is taken.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from benchmarks.fault_client import Attempt
from benchmarks.fault_cluster import KEYS_PER_WORKSPACE, MODEL, WEIGHTS, WORKSPACES, Cluster
from standins.fleet import Node, make_key
from teaselpath.history import (
    CacheReused,
    Event,
    ExecutionStarted,
    KeyGranted,
    RequestAnswered,
    RequestSent,
    StreamDelivered,
    StreamProduced,
)
from teaselpath.prefix import chain_seed

MAX_ATTEMPTS = 8


@dataclass(slots=True)
class Audit:
    """What one endpoint reports after the run.

    :param tags: tag of the work that each request id belongs to.
    """

    node: Node
    requests: list[dict[str, Any]]
    tags: dict[str, str]
    suspects: list[dict[str, str]]
    by_key: dict[str, int] = field(default_factory=dict)
    by_request: dict[str, int] = field(default_factory=dict)


async def read_audits(cluster: Cluster) -> list[Audit]:
    """Read what all endpoints report."""
    audits = []
    for node in cluster.agents():
        answer = await cluster.fleet.get(node.endpoint_url + "/audit")
        tags = {}
        for received in answer["received"]:
            fields = dict(received["fields"])
            tag = fields.get("user") or fields.get("tag") or fields.get("value.tag")
            if tag:
                tags[received["request_id"]] = tag
        audit = Audit(node, answer.get("requests", []), tags, answer["suspects"])
        if node.endpoint.startswith("service"):
            counts = await cluster.fleet.get(node.endpoint_url + "/executions")
            audit.requests, audit.by_key = counts["executions"], counts["by_key"]
            audit.by_request = counts["by_request"]
        audits.append(audit)
    return audits


def name_unknown(attempts: list[Attempt], audits: list[Audit]) -> None:
    """Give attempts without an answer the request ids that the endpoints saw for their work."""
    known = {attempt.request_id for attempt in attempts if attempt.request_id}
    seen: dict[str, list[str]] = defaultdict(list)
    for audit in audits:
        for request_id, tag in audit.tags.items():
            if request_id not in known and request_id not in seen[tag]:
                seen[tag].append(request_id)
    for number, attempt in enumerate(attempts):
        if not attempt.request_id:
            left = seen[attempt.tag]
            # A request that got no connection was not run; it takes no id of another attempt.
            can_have_run = left and not attempt.detail.startswith("not connected")
            attempt.request_id = left.pop(0) if can_have_run else f"unseen-{number}"


class _Salts:
    """Finds the workspace that a cache salt belongs to."""

    def __init__(self) -> None:
        self.known = {
            chain_seed(workspace, MODEL, weights).hex(): workspace
            for workspace in WORKSPACES
            for weights in WEIGHTS
        }

    def find(self, salt: str, request_id: str) -> str:
        """Return the workspace; a salt of one request only is found by the request's id."""
        if salt in self.known:
            return self.known[salt]
        for workspace in WORKSPACES:
            for weights in WEIGHTS:
                for attempt in range(1, MAX_ATTEMPTS + 1):
                    version = f"{weights}?{request_id}#{attempt}"
                    if chain_seed(workspace, MODEL, version).hex() == salt:
                        return workspace
        return f"unknown salt {salt}"


def make_events(attempts: list[Attempt], audits: list[Audit]) -> list[Event]:
    """Return the events of callers and endpoints."""
    events: list[Event] = [
        KeyGranted(at=0.0, node="operator", key=make_key(name, n), workspace=name)
        for name in WORKSPACES
        for n in range(1, KEYS_PER_WORKSPACE + 1)
    ]
    by_id = {attempt.request_id: attempt for attempt in attempts}
    for attempt in attempts:
        events += _caller_events(attempt)
    salts = _Salts()
    for audit in audits:
        events += _endpoint_events(audit, by_id, salts)
    return events


def _caller_events(attempt: Attempt) -> list[Event]:
    request_id, caller = attempt.request_id, attempt.tag
    events: list[Event] = [
        RequestSent(
            at=attempt.sent,
            node=attempt.entry,
            request_id=request_id,
            caller=caller,
            key=make_key(attempt.workspace, attempt.key_number),
            repeatable=attempt.kind != "booking",
            claim=attempt.claim,
        ),
        RequestAnswered(
            at=attempt.ended,
            node=attempt.entry,
            request_id=request_id,
            code=int(attempt.code),
            ran=str(attempt.ran),
        ),
    ]
    if attempt.is_whole or attempt.text:
        produced = {"request_id": request_id, "node": attempt.entry, "at": attempt.sent}
        events.append(StreamProduced(text=attempt.expected, **produced))
        events.append(
            StreamDelivered(
                at=attempt.ended,
                node=attempt.entry,
                request_id=request_id,
                caller=caller,
                text=attempt.text,
                is_whole=attempt.is_whole,
            )
        )
    return events


def _endpoint_events(audit: Audit, by_id: dict[str, Attempt], salts: _Salts) -> list[Event]:
    events: list[Event] = []
    host = audit.node.name
    keys = {make_key(name, n) for name in WORKSPACES for n in range(1, KEYS_PER_WORKSPACE + 1)}
    leaked = {s["request_id"]: s["value"] for s in audit.suspects if s["value"] in keys}
    for entry in audit.requests:
        request_id = entry["request_id"]
        attempt = by_id.get(request_id)
        at = entry["received_at"]
        if "salt" in entry:
            workspace = salts.find(entry["salt"], request_id)
            events += _reuse_events(entry, host, at, workspace, salts)
        else:
            workspace = attempt.workspace if attempt else "unknown"
        events.append(
            ExecutionStarted(
                at=at,
                node=host,
                request_id=request_id,
                workspace=workspace,
                received=leaked.pop(request_id, ""),
            )
        )
    for request_id, value in leaked.items():
        events.append(
            ExecutionStarted(
                at=0.0, node=host, request_id=request_id, workspace="unknown", received=value
            )
        )
    return events


def _reuse_events(
    entry: dict[str, Any], host: str, at: float, workspace: str, salts: _Salts
) -> list[Event]:
    return [
        CacheReused(
            at=at,
            node=host,
            request_id=entry["request_id"],
            workspace=workspace,
            incarnation=entry["incarnation"],
            weights=entry["weights"],
            block_workspace=salts.find(block["salt"], entry["request_id"]),
            block_incarnation=block["imported_by"] or block["incarnation"],
            block_weights=block["weights"],
        )
        for block in entry["reused"]
    ]
