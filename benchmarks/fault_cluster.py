"""Fleet of the fault run: processes, bundles, withdrawn keys and the nodes' status."""

import asyncio
from hashlib import sha256
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from standins.fleet import Fleet, FleetPlan, Node, make_key
from teaselpath.bundle import (
    Bundle,
    EndpointSpec,
    KeySpec,
    ModelSpec,
    RequestClass,
    RevocationSpec,
    Route,
    Workspace,
    operator_public_key,
    sign_record,
    sign_revocation,
)
from teaselpath.cli._client import NodeAddress, ToolKeys, send_requests
from teaselpath.cli._publish import PublishOutcome, publish_record
from teaselpath.clients import LogClient
from teaselpath.transport import CurveKeys

MODEL = "model-a"
WEIGHTS = ("w1", "w2")
OVERLOADED = "shredding-archive"
WORKSPACES = {
    "batinah-counter": (80_000.0, 400_000.0),
    "batinah-review": (80_000.0, 400_000.0),
    "shredding-drivers": (80_000.0, 400_000.0),
    OVERLOADED: (2_000.0, 20_000.0),
}
KEYS_PER_WORKSPACE = 60
STATUS_TIMEOUT_S = 0.8
PUBLISH_TIMEOUT_S = 8.0
# Restarts its stream itself after a failure, for comparison with a continued stream.
START_OVER_CLASS = "start-over"
PLAN = FleetPlan(
    engines=("region-a",) * 3 + ("region-b",) * 2,
    services=("region-a", "region-b"),
    entries=("region-a", "region-a", "region-b"),
    engine_options={"step_us": 8_000.0},
)


def digest_of(workspace: str, number: int) -> str:
    """Return the digest of a caller's key in hexadecimal digits."""
    return sha256(make_key(workspace, number).encode()).hexdigest()


def make_bundle(fleet: Fleet, rates: dict[str, tuple[float, float]], weights: str) -> Bundle:
    """Return the first bundle of a fleet."""
    endpoints = [node.endpoint for node in fleet.nodes.values() if node.endpoint]
    engines = [name for name in endpoints if name.startswith("engine")]
    services = [name for name in endpoints if name.startswith("service")]
    return Bundle(
        version=1,
        parent=0,
        change_id="faults-1",
        workspaces=[
            Workspace(
                id=name,
                rate=rate,
                burst=burst,
                keys=[
                    KeySpec(id=f"{name}-{n}", digest=digest_of(name, n))
                    for n in range(1, KEYS_PER_WORKSPACE + 1)
                ],
            )
            for name, (rate, burst) in rates.items()
        ],
        models=[ModelSpec(id=MODEL, weights=weights)],
        endpoints=[
            *(EndpointSpec(id=name, kind="engine", models=[MODEL]) for name in engines),
            *(EndpointSpec(id=name, kind="service", service="records") for name in services),
        ],
        routes=[Route(prefix="/bookings", service="records", methods=["POST"])],
        classes=[
            RequestClass(id="interactive", priority=0, deadline_ms=20_000, max_wait_ms=3_000),
            RequestClass(
                id=START_OVER_CLASS,
                priority=0,
                deadline_ms=20_000,
                max_wait_ms=3_000,
                continuation=False,
            ),
        ],
    )


class Cluster:
    """Processes of the fault run and the operators' requests to them.

    :param root: directory for settings and logs.
    :param plan: what to start.
    """

    def __init__(self, root: Path, plan: FleetPlan = PLAN) -> None:
        self.fleet = Fleet(root, plan)
        self.curve = CurveKeys.generate()
        self.fleet.prepare()
        for node in self.fleet.nodes.values():
            self._accept_tool(node)
        self.bundle = make_bundle(self.fleet, WORKSPACES, WEIGHTS[0])
        self.changes = 1

    def _accept_tool(self, node: Node) -> None:
        settings = msgspec.json.decode(node.settings.read_bytes())
        # A list that is not empty replaces the keys of the host list.
        accepted = [
            self.curve.public.decode(),
            *(n.curve_public for n in self.fleet.nodes.values()),
        ]
        settings["control"]["accepted_curve_keys"] = accepted
        node.settings.write_bytes(msgspec.json.encode(settings))

    async def start(self) -> None:
        """Start everything, publish the first bundle and wait until it is in force."""
        await self.fleet.start()
        await self.fleet.publish(self.bundle)
        await self.fleet.wait_ready()
        keys = [make_key(name, n) for name in WORKSPACES for n in range(1, KEYS_PER_WORKSPACE + 1)]
        async with aiohttp.ClientSession() as session:
            for node in self.agents():
                url = node.endpoint_url + "/audit/watch"
                async with session.post(url, json={"values": keys}) as answer:
                    answer.raise_for_status()

    def agents(self, kind: str = "") -> list[Node]:
        """Return the agents, or those of engines or services only."""
        nodes = self.fleet.nodes.values()
        return [n for n in nodes if n.role == "agent" and n.endpoint.startswith(kind)]

    async def ask(
        self, names: list[str], command: str, arguments: dict[str, Any]
    ) -> dict[str, Any]:
        """Send an operator's request; nodes without a good answer are left out."""
        nodes = [self.fleet.nodes[name] for name in names]
        addresses = [
            NodeAddress(n.name, "127.0.0.1", n.control_port, n.curve_public) for n in nodes
        ]
        keys = ToolKeys(self.fleet.operator_secret, self.curve.public, self.curve.secret)
        answers = await asyncio.to_thread(
            send_requests, addresses, command, arguments, keys, STATUS_TIMEOUT_S
        )
        return {host: answer.unwrap() for host, answer in answers.items() if answer.is_ok()}

    async def revoke(self, name: str, workspace: str, number: int) -> bool:
        """Push the withdrawal of a key to one node; returns whether the node confirmed it."""
        spec = RevocationSpec(
            key_digest=digest_of(workspace, number),
            key_id=f"{workspace}-{number}",
            version=self.bundle.version,
        )
        record = sign_revocation(spec, self.fleet.operator_secret).hex()
        return name in await self.ask([name], "revoke", {"record": record})

    def next_bundle(self, rate_factor: float, weights: str) -> Bundle:
        """Return a successor of the accepted bundle with other rates and weights."""
        self.changes += 1
        old = self.bundle
        return msgspec.structs.replace(
            old,
            version=old.version + 1,
            parent=old.version,
            change_id=f"faults-{self.changes}",
            workspaces=[
                msgspec.structs.replace(w, rate=WORKSPACES[w.id][0] * rate_factor)
                for w in old.workspaces
            ],
            models=[ModelSpec(id=MODEL, weights=weights)],
        )

    async def publish(self, bundle: Bundle) -> PublishOutcome | None:
        """Append a bundle and find out what became of it; None if the log cannot be read."""
        data = sign_record("bundle", msgspec.json.encode(bundle), self.fleet.operator_secret)
        public = operator_public_key(self.fleet.operator_secret)
        deadline = asyncio.get_running_loop().time() + PUBLISH_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            client = LogClient(session, self.fleet.log_url)
            found = await publish_record(client, data, [public], deadline)
        outcome = found.ok()
        if outcome is not None and outcome.result == "accepted":
            self.bundle = bundle
        return outcome
