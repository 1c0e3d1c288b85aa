"""Messages that the processes exchange.

Time limits on the wire are remaining milliseconds, because the clocks of two hosts are not
compared; the receiver converts them to a deadline on its own clock.
"""

import msgspec


class _Message(msgspec.Struct, tag=True, array_like=True, omit_defaults=True):
    """Base of all messages, encoded as tagged MessagePack arrays."""


class Probe(_Message):
    """Query an agent for its cached prefix match and expected queue wait."""

    probe_id: int
    workspace: str
    model: str
    request_class: str
    chain: list[bytes]
    prompt_tokens: int


class ProbeReply(_Message):
    """Reply to a probe: whether requests are accepted, cached prefix match and load."""

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

    ``agent_incarnation`` identifies the agent process that the start is addressed to; another
    process replies that the outcome is unknown. ``(entry_incarnation, sequence)`` increases with
    each start that an entry host sends to any agent, also across its restarts.
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
    """Refusal of a start, which did not run."""

    request_id: str
    attempt: int
    code: int
    detail: str
    retry_after_ms: int = 0


class Chunk(_Message):
    """Numbered chunk of an answer; number 1 carries status and headers."""

    request_id: str
    attempt: int
    number: int
    data: bytes
    status: int = 0
    headers: list[tuple[str, str]] = []


class End(_Message):
    """End of an answer, with its outcome, number of chunks and token usage."""

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
    """Cumulative acknowledgement; ``window`` is the number of further chunks that may be sent."""

    request_id: str
    attempt: int
    number: int
    window: int


class Cancel(_Message):
    """Cancel a request; with ``fence`` a later start of the same attempt is refused.

    The last three fields are copied from the start; without them, the agent cannot prove that the
    request did not run.
    """

    request_id: str
    attempt: int
    fence: bool
    agent_incarnation: int = 0
    entry_incarnation: int = 0
    sequence: int = 0


class Cancelled(_Message):
    """Reply to a cancel; ``started`` is false if the request is proven not to have run.

    ``ran`` is a value of ``results.Ran``; with ``started`` it is ``ran`` or ``unknown``.
    """

    request_id: str
    attempt: int
    started: bool
    ran: str = "unknown"


class Resume(_Message):
    """Request to resend the chunks after number ``after`` to the sender of this message."""

    request_id: str
    attempt: int
    workspace: str
    after: int


class MemberDelta(_Message):
    """State of one member in the sender's member table."""

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
    """Digest of the sender's configuration, with a bounded number of member deltas."""

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
    """Log record as read, including its signature.

    ``decided_to`` is set between peers: up to this offset, the record is the accepted one.
    """

    offset: int
    data: bytes
    decided_to: int = 0


class ConfigPull(_Message):
    """Request the signed records from an offset on."""

    host: str
    from_offset: int
    revocations: bool = False


class ConfigPush(_Message):
    """Signed records with their offsets."""

    host: str
    records: list[SignedRecord]
    revocations: list[bytes] = []


class Revocation(_Message):
    """Signed revocation of a key."""

    data: bytes


class QuotaAsk(_Message):
    """Request to borrow tokens of a workspace; without a workspace, only a receipt is requested.

    The reply carries the same ``ask_id``, which proves that it is not older than the request.
    """

    workspace: str
    host: str
    tokens: float
    table: int
    incarnation: int = 0
    ask_id: int = 0


class QuotaTransfer(_Message):
    """Transfer of tokens, capacity and rate to another shareholder; resent until acknowledged.

    ``capacity`` and ``rate`` are fractions of the workspace's burst and rate. ``lender`` owns
    them: the sender when it lends, the receiver when it is repaid. ``left_*`` are the amounts that
    the sender could still lend. A message with an empty ``transfer_id`` transfers nothing.
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
    """Acknowledgement of a transfer, or reply to a ``QuotaAsk`` without a workspace."""

    transfer_id: str
    host: str = ""
    incarnation: int = 0
    to_incarnation: int = 0
    table: int = 0
    epoch: int = 0
    ask_id: int = 0


class QuotaReserve(_Message):
    """Reserve tokens at a shareholder of the workspace."""

    reservation_id: str
    workspace: str
    host: str
    tokens: int
    remaining_ms: int


class QuotaGrant(_Message):
    """Reply to a reservation."""

    reservation_id: str
    granted: bool
    code: int = 0
    retry_after_ms: int = 0


class QuotaSettle(_Message):
    """Settle a reservation with the number of tokens used."""

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
    """Copies of decision records, replicated to a second node."""

    host: str
    records: list[DecisionRecord]


class Control(_Message):
    """A signed request of an operator."""

    request_id: str
    payload: bytes
    signature: bytes
    operator_key: bytes


class ControlReply(_Message):
    """Reply to an operator's request, with a JSON body."""

    request_id: str
    code: int
    body: bytes
