"""Messages between gateways about quarantined parts.

The clocks of hosts differ, so times are sent as ages or remaining times, in ms.
"""

import msgspec


class EndNote(msgspec.Struct, array_like=True):
    """End of an engine that had not answered requests with these parts."""

    number: int
    age_ms: int
    parts: list[str]
    is_trial: bool


class SoundNote(msgspec.Struct, array_like=True):
    """Answer on a part that was a suspect."""

    part: str
    age_ms: int


class ClaimNote(msgspec.Struct, array_like=True):
    """Claim to run one request with these parts; ``left_ms`` is 0 at its end."""

    host: str
    number: int
    parts: list[str]
    is_running: bool
    left_ms: int


class VerdictNote(msgspec.Struct, array_like=True):
    """Verdict; without parts, it was lifted."""

    verdict_id: str
    parts: list[str]
    age_ms: int
    left_ms: int
    ends: int
    strikes: int
    host: str


class QuarantineUpdate(msgspec.Struct, array_like=True, tag="quarantine"):
    """What a gateway knows about suspect parts, or what has just changed.

    :param is_complete: whether it holds everything that the sender knows.
    """

    host: str
    ends: list[EndNote] = []
    sound: list[SoundNote] = []
    claims: list[ClaimNote] = []
    verdicts: list[VerdictNote] = []
    is_complete: bool = False
