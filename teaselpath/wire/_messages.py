"""Message structs.

Lengths of time on the wire are remaining milliseconds, because the clocks of two hosts are not
compared; the receiver stores a deadline.
"""

import msgspec


class _Message(msgspec.Struct, tag=True, array_like=True, omit_defaults=True):
    """Base of all messages: tagged MessagePack arrays."""


class Probe(_Message):
    """Ask an agent for its cache match and queue wait."""

    probe_id: int
    workspace: str
    model: str
    request_class: str
    chain: list[bytes]
    prompt_tokens: int


class ProbeReply(_Message):
    """Answer to a probe: whether new work is accepted, cache match and load."""

    probe_id: int
    endpoint: str
    accepting: bool
    matched_blocks: int
    wait_ms: float
    prefill_us_per_token: float
    weights: str
    engine_incarnation: str
    running: int
    queued: int
    agent_incarnation: int = 0
    import_us_per_block: float = 0.0


class Start(_Message):
    """Run a request at the agent's endpoint.

    ``agent_incarnation`` is the agent process that the start is meant for; another process answers
    that the outcome is unknown. ``(entry_incarnation, sequence)`` grows with each start that an
    entry host sends to any agent, also over its restarts.
    """

    request_id: str
    attempt: int
    workspace: str
    request_class: str
    model: str
    remaining_ms: int
    bundle_version: int
    weights: str
    chain: list[bytes]
    prompt_tokens: int
    output_cap: int
    repeatable: bool
    claim_key: bytes
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    stream: bool
    resume_after: int = 0
    key_digest: bytes = b""
    agent_incarnation: int = 0
    entry_incarnation: int = 0
    sequence: int = 0
    import_source: str = ""
    import_blocks: int = 0


class Refused(_Message):
    """A start was refused and did not run."""

    request_id: str
    attempt: int
    code: int
    detail: str
    retry_after_ms: int = 0


class Chunk(_Message):
    """A numbered chunk of an answer; number 1 carries status and headers."""

    request_id: str
    attempt: int
    number: int
    data: bytes
    status: int = 0
    headers: list[tuple[str, str]] = []


class End(_Message):
    """End of an answer, with the number of its chunks and what it used."""

    request_id: str
    attempt: int
    chunks: int
    code: int
    ran: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    detail: str = ""


class Ack(_Message):
    """Cumulative acknowledgement; ``window`` is how many further chunks may be sent."""

    request_id: str
    attempt: int
    number: int
    window: int


class Cancel(_Message):
    """Cancel a request; with ``fence`` a later start of the same attempt is refused.

    The last three fields repeat those of the start; without them nothing can be proven.
    """

    request_id: str
    attempt: int
    fence: bool
    agent_incarnation: int = 0
    entry_incarnation: int = 0
    sequence: int = 0


class Cancelled(_Message):
    """Answer to a cancel; ``started`` is false if the request is proven not to have run.

    ``ran`` is a value of ``results.Ran``; with ``started`` it is ``ran`` or ``unknown``.
    """

    request_id: str
    attempt: int
    started: bool
    ran: str = "unknown"


class Resume(_Message):
    """Send the chunks after a number again, to the sender of this message."""

    request_id: str
    attempt: int
    workspace: str
    after: int


class MemberDelta(_Message):
    """State of one member as the sender knows it."""

    host: str
    role: str
    region: str
    failure_domain: str
    address: str
    control_port: int
    http_port: int
    curve_public: str
    endpoint: str
    incarnation: int
    state: str
    engine_incarnation: str = ""


class Gossip(_Message):
    """Digest of what the sender knows, with a bounded number of member deltas."""

    host: str
    incarnation: int
    offset: int
    version: int
    digest: bytes
    members: list[MemberDelta] = []
    revocation_digest: bytes = b""
    share_table: int = 0
    reply: bool = False


class SignedRecord(_Message):
    """A record of the log as it was read, signature included.

    ``decided_to`` is set between peers: the record is the accepted one up to this offset.
    """

    offset: int
    data: bytes
    decided_to: int = 0


class ConfigPull(_Message):
    """Ask a peer for the signed records from an offset on."""

    host: str
    from_offset: int
    revocations: bool = False


class ConfigPush(_Message):
    """Signed records with their offsets."""

    host: str
    records: list[SignedRecord]
    revocations: list[bytes] = []


class Revocation(_Message):
    """A signed withdrawal of a key."""

    data: bytes


class QuotaAsk(_Message):
    """Ask another home for tokens of a workspace; without a workspace, only for a receipt.

    ``ask_id`` comes back in the answer, which proves that the answer is not older than the ask.
    """

    workspace: str
    host: str
    tokens: float
    table: int
    incarnation: int = 0
    ask_id: int = 0


class QuotaTransfer(_Message):
    """Move tokens, capacity and rate to another home; resent until acknowledged.

    ``capacity`` and ``rate`` are fractions of the workspace's burst and rate. ``lender`` owns
    them: the sender for a loan, the receiver for a return. ``left_*`` tell what the sender could
    still give. An empty ``transfer_id`` moves nothing.
    """

    transfer_id: str
    workspace: str
    host: str
    incarnation: int
    table: int
    tokens: float
    capacity: float
    rate: float
    to_incarnation: int = 0
    lender: str = ""
    epoch: int = 0
    number: int = 0
    oldest_number: int = 0
    ask_id: int = 0
    left_tokens: float = 0.0
    left_capacity: float = 0.0
    left_rate: float = 0.0


class QuotaReceipt(_Message):
    """Acknowledge a transfer, or answer an ask without a workspace."""

    transfer_id: str
    host: str = ""
    incarnation: int = 0
    to_incarnation: int = 0
    table: int = 0
    epoch: int = 0
    ask_id: int = 0


class QuotaReserve(_Message):
    """Reserve tokens at a home of the workspace."""

    reservation_id: str
    workspace: str
    host: str
    tokens: int
    remaining_ms: int


class QuotaGrant(_Message):
    """Answer to a reservation."""

    reservation_id: str
    granted: bool
    code: int = 0
    retry_after_ms: int = 0


class QuotaSettle(_Message):
    """Settle a reservation to the tokens that were used."""

    reservation_id: str
    workspace: str
    used: int


class DecisionRecord(_Message):
    """One step in the handling of a request, for ``explain``."""

    request_id: str
    workspace: str
    step: str
    endpoint: str
    code: int
    bundle_version: int
    reason: str
    host: str = ""
    wall_us: int = 0


class TraceCopy(_Message):
    """Copies of decision records for a second node."""

    host: str
    records: list[DecisionRecord]


class Control(_Message):
    """A signed request of an operator."""

    request_id: str
    payload: bytes
    signature: bytes
    operator_key: bytes


class ControlReply(_Message):
    """JSON answer to an operator's request."""

    request_id: str
    code: int
    body: bytes
