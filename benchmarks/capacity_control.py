"""Slopes of members, bundle, keys, revocations and quota: the background cost of a node."""

from functools import lru_cache
from hashlib import sha256
from random import Random
from types import SimpleNamespace

import msgspec
from capacity_fit import Slope, allocated, cpu_us, cpu_us_fresh

from teaselpath.bundle import (
    BundleState,
    KeyIndex,
    RevocationSet,
    RevocationSpec,
    operator_public_key,
    sign_record,
    sign_revocation,
)
from teaselpath.bundle._document import (
    Bundle,
    EndpointSpec,
    KeySpec,
    ModelSpec,
    RequestClass,
    Workspace,
)
from teaselpath.membership import GossipReceived, HostList, Member, MemberTable
from teaselpath.quota import (
    LeaseConfirmed,
    LiveEntriesChanged,
    LiveEntry,
    QuotaCore,
    ReserveTokens,
    SettleTokens,
    ShareTable,
    TableRecord,
    WorkspaceQuota,
    WorkspacesChanged,
)
from teaselpath.quota._table import encode_settled, encode_table
from teaselpath.wire import Gossip, SignedRecord, encode

ENTRIES, AGENTS, WORKSPACES, ENGINES = 540, 2400, 6600, 2400
MEMBERS = ENTRIES + AGENTS
REGIONS, DOMAINS = 6, 19
KEYS_PER_WORKSPACE = 2
OPERATOR = bytes(range(32))
OPERATOR_KEYS = [operator_public_key(OPERATOR)]
ROUNDS = 100


def member(number: int) -> Member:
    """Return an alive member as it is known from the host list and from gossip."""
    role = "entry" if number % 49 < 9 else "agent"
    return Member(
        f"host-{number:05}",
        role,
        f"region-{number % REGIONS}",
        f"domain-{number % DOMAINS}",
        f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        7400,
        8080 if role == "entry" else 0,
        f"{number:040}",
        f"engine-{number:05}" if role == "agent" else "",
        1_700_000_000_000 + number,
        last_contact_at=0.0,
        is_listed=True,
    )


def table(count: int) -> MemberTable:
    """Return a member table."""
    members = [member(number) for number in range(count)]
    return MemberTable(members[0], members[1:], Random(1))


def listed(count: int) -> list[dict]:
    """Return the host list as the platform answers it."""
    names = ("host", "role", "region", "failure_domain", "address", "control_port", "http_port")
    names += ("curve_public", "endpoint")
    rows = [member(number) for number in range(count)]
    return [{name: getattr(row, name) for name in names} | {"state": "live"} for row in rows]


def gossip(deltas: int) -> Gossip:
    """Return a gossip message."""
    rows = [member(number).delta() for number in range(deltas)]
    version, digest = 2300, bytes(range(16))
    return Gossip("host-00001", 1_700_000_000_001, 10_000, version, digest, rows, digest, 9000)


def members_memory(count: int) -> float:
    """Measure a member table."""
    return allocated(lambda: table(count))


def gossip_bytes(deltas: int) -> float:
    """Measure a gossip message."""
    return len(encode(gossip(deltas)))


def gossip_cpu(count: int) -> float:
    """Measure a second of gossip: an own message, a received one and its answer."""
    members = table(count)
    clock = iter(range(1, 10**9))
    members.handle(GossipReceived(gossip(1)), 0.0)

    def run() -> None:
        now = float(next(clock))
        for step in range(5):
            members.tick(now + step * 0.2)
        members.handle(GossipReceived(gossip(1)), now)

    return cpu_us(run, ROUNDS)


def host_list_cpu(count: int) -> float:
    """Measure decoding and applying an unchanged host list."""
    members = table(count)
    data = msgspec.json.encode(listed(count))

    def run() -> None:
        hosts = [SimpleNamespace(**row) for row in msgspec.json.decode(data)]
        members.handle(HostList(hosts), 1.0)

    return cpu_us(run)


def member_change_cpu(count: int) -> float:
    """Measure the lists that are built again after a change of a member."""
    members = table(count)

    def run() -> None:
        members.serving = None
        members.serving_agents()
        members.entries()

    return cpu_us(run, 20)


@lru_cache(maxsize=16)
def bundle_payload(workspaces: int) -> bytes:
    """Return a bundle document; its endpoints grow with its workspaces."""
    random = Random(workspaces)
    spaces = [
        Workspace(
            id=f"workspace-{number:05}",
            rate=float(random.randrange(100, 100_000)),
            burst=float(random.randrange(10_000, 1_000_000)),
            keys=[
                KeySpec(id=f"key-{number}-{part}", digest=random.randbytes(32).hex())
                for part in range(KEYS_PER_WORKSPACE)
            ],
        )
        for number in range(workspaces)
    ]
    models = [ModelSpec(id=f"model-{number}", weights="w1") for number in range(4)]
    endpoints = [
        EndpointSpec(id=f"engine-{number:05}", kind="engine", models=[f"model-{number % 4}"])
        for number in range(workspaces * ENGINES // WORKSPACES)
    ]
    classes = [RequestClass(id="interactive", priority=0, deadline_ms=30_000, max_wait_ms=5_000)]
    document = Bundle(
        version=1,
        parent=0,
        change_id="change-1",
        workspaces=spaces,
        models=models,
        endpoints=endpoints,
        classes=classes,
    )
    return msgspec.json.encode(document)


@lru_cache(maxsize=16)
def bundle_record(workspaces: int) -> bytes:
    """Return the signed record of a bundle."""
    return sign_record("bundle", bundle_payload(workspaces), OPERATOR)


def change_bytes(workspaces: int) -> float:
    """Measure a signed record that holds only the workspaces that a change touches."""
    document = msgspec.json.decode(bundle_payload(500), type=Bundle)
    changed = msgspec.json.encode(
        {
            "version": 2301,
            "parent": 2300,
            "change_id": "change-2301",
            "digest": sha256(b"").hexdigest(),
            "workspaces": document.workspaces[:workspaces],
        }
    )
    return len(sign_record("bundle", changed, OPERATOR))


def accepted(workspaces: int) -> BundleState:
    """Return the state after the bundle was read from the log."""
    state = BundleState(OPERATOR_KEYS)
    state.handle(SignedRecord(0, bytes(bundle_record(workspaces))), 0.0)
    return state


def bundle_memory(workspaces: int) -> float:
    """Measure what a node keeps of a bundle: record, document and key index."""
    record = bundle_record(workspaces)

    def build() -> tuple:
        state = BundleState(OPERATOR_KEYS)
        state.handle(SignedRecord(0, record[:-1] + record[-1:]), 0.0)
        assert state.bundle is not None
        return state, KeyIndex(state.bundle, state.revocations)

    return allocated(build)


def bundle_cpu(workspaces: int) -> float:
    """Measure signature, decoding, checks and key index of a new bundle, in milliseconds."""
    bundle_record(workspaces)

    def run() -> None:
        state = accepted(workspaces)
        assert state.bundle is not None
        KeyIndex(state.bundle, state.revocations)

    return cpu_us(run) / 1e3


def key_cpu(keys: int) -> float:
    """Measure the lookup of a caller's key."""
    state = accepted(keys // KEYS_PER_WORKSPACE)
    assert state.bundle is not None
    index = KeyIndex(state.bundle, state.revocations)
    return cpu_us(lambda: index.find("a caller's key of usual length, 40 bytes"), 1000)


def revocation(number: int) -> bytes:
    """Return a signed revocation."""
    digest = Random(number).randbytes(32).hex()
    return sign_revocation(
        RevocationSpec(key_digest=digest, key_id=f"key-{number}", version=1), OPERATOR
    )


def revocations(count: int) -> RevocationSet:
    """Return a set of withdrawn keys."""
    known = RevocationSet()
    for number in range(count):
        known.add(revocation(number), OPERATOR_KEYS)
    return known


def revocation_cpu(count: int) -> float:
    """Measure adding one revocation to a set, signature included."""
    data = revocation(1_000_000)
    return cpu_us_fresh(lambda: revocations(count), lambda known: known.add(data, OPERATOR_KEYS))


def slots(entries: int) -> dict[str, str]:
    """Return the slots of a share table."""
    return {f"entry-{number:03}": f"region-{number % REGIONS}" for number in range(entries)}


def share_table(entries: int) -> ShareTable:
    """Return an accepted table."""
    shares = ShareTable()
    shares.handle(0, encode_table(0, slots(entries)))
    return shares


def quota(workspaces: int, entries: int = ENTRIES) -> QuotaCore:
    """Return the core of one entry, ready to spend."""
    core = QuotaCore("entry-000", "region-0", 1)
    spaces = [WorkspaceQuota(f"workspace-{n:05}", 1e6, 1e9) for n in range(workspaces)]
    core.handle(
        LiveEntriesChanged([LiveEntry(host, region) for host, region in slots(entries).items()]),
        0.0,
    )
    core.handle(WorkspacesChanged(spaces), 0.0)
    core.handle(TableRecord(0, encode_table(0, slots(entries))), 0.0)
    core.handle(TableRecord(1, encode_settled(core.state.table)), 0.0)
    core.handle(LeaseConfirmed(), 0.0)
    for second in range(1, 80):
        core.handle(LeaseConfirmed(), float(second))
        core.tick(float(second))
    return core


def quota_tick_cpu(entries: int) -> float:
    """Measure a tick without waiting reservations; it compares the table with the live entries."""
    core = quota(100, entries)
    return cpu_us(lambda: core.tick(80.0), 200)


def quota_reserve_cpu(workspaces: int) -> float:
    """Measure reserving and settling at a home."""
    core = quota(workspaces)
    own = next(iter(core.state.shares))

    def run() -> None:
        core.handle(ReserveTokens("reservation", own, 1000.0, 90.0), 80.0)
        core.handle(SettleTokens("reservation", 700.0), 80.0)

    return cpu_us(run, 500)


def quota_rank_cpu(workspaces: int) -> float:
    """Measure the homes of all workspaces after a start, in milliseconds."""
    names = [f"workspace-{number:05}" for number in range(workspaces)]

    def run(shares: ShareTable) -> None:
        for name in names:
            shares.shareholders(name)

    return cpu_us_fresh(lambda: share_table(ENTRIES), run) / 1e3


def quota_change_cpu(workspaces: int) -> float:
    """Measure a table in which one host was replaced, in milliseconds."""
    changed = slots(ENTRIES)
    changed["entry-540"] = changed.pop("entry-001")
    return (
        cpu_us_fresh(
            lambda: quota(workspaces),
            lambda core: core.handle(TableRecord(2, encode_table(1, changed)), 80.0),
        )
        / 1e3
    )


def control_slopes() -> list[Slope]:
    """Return the slopes of this module."""
    sizes = (500, 1500, 2940)
    spaces = (500, 1500, 3000)
    few = (100, 300, 900)
    full_keys = WORKSPACES * KEYS_PER_WORKSPACE
    return [
        Slope("members.memory", "B", "members", sizes, MEMBERS, members_memory),
        Slope("members.gossip_cpu", "us", "members", sizes, MEMBERS, gossip_cpu),
        Slope("members.gossip_bytes", "B", "deltas", (1, 2, 4), 1, gossip_bytes),
        Slope("members.host_list_cpu", "us", "members", sizes, MEMBERS, host_list_cpu),
        Slope(
            "members.host_list_bytes",
            "B",
            "members",
            sizes,
            MEMBERS,
            lambda n: len(msgspec.json.encode({"hosts": listed(n)})),
        ),
        Slope("members.change_cpu", "us", "members", sizes, MEMBERS, member_change_cpu),
        Slope(
            "bundle.record_bytes",
            "B",
            "workspaces",
            spaces,
            WORKSPACES,
            lambda n: len(bundle_record(n)),
        ),
        Slope("bundle.change_bytes", "B", "changed workspaces", (1, 4, 16), 1, change_bytes),
        Slope("bundle.accept_cpu", "ms", "workspaces", spaces, WORKSPACES, bundle_cpu),
        Slope("bundle.memory", "B", "workspaces", spaces, WORKSPACES, bundle_memory),
        Slope("keys.find_cpu", "us", "keys", (1000, 3000, 6000), full_keys, key_cpu),
        Slope("revocations.add_cpu", "us", "revocations", few, 1000, revocation_cpu),
        Slope(
            "revocations.memory",
            "B",
            "revocations",
            few,
            1000,
            lambda n: allocated(lambda: revocations(n)),
        ),
        Slope(
            "quota.table_bytes",
            "B",
            "entries",
            (60, 180, 540),
            ENTRIES,
            lambda n: len(encode_settled(share_table(n))),
        ),
        Slope("quota.rank_cpu", "ms", "workspaces", (50, 150, 300), WORKSPACES, quota_rank_cpu),
        Slope("quota.change_cpu", "ms", "workspaces", (50, 150, 300), WORKSPACES, quota_change_cpu),
        Slope(
            "quota.memory",
            "B",
            "workspaces",
            (50, 150, 300),
            WORKSPACES,
            lambda n: allocated(lambda: quota(n)),
        ),
        Slope("quota.tick_cpu", "us", "entries", (60, 180, 540), ENTRIES, quota_tick_cpu),
        Slope(
            "quota.reserve_cpu", "us", "workspaces", (100, 200, 400), WORKSPACES, quota_reserve_cpu
        ),
    ]
