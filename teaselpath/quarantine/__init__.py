"""Quarantine of prompt parts and requests that crash engines. Does no I/O.

Engines that end while they run requests are evidence against those that had no answer yet, as a
whole and against the parts of their prompts; an answer is proof that all of them are sound. Between
the two stands a trial: one request with a suspect part at a time, over all gateways.
"""

from teaselpath.quarantine._core import (
    SUSPECT_ENDS,
    Admit,
    Decision,
    Hold,
    Quarantine,
    Reject,
    Try,
    claim_note,
    verdict_note,
)
from teaselpath.quarantine._evidence import EvidenceLedger
from teaselpath.quarantine._memory_ends import MemoryEnds
from teaselpath.quarantine._messages import (
    ClaimNote,
    EndNote,
    QuarantineUpdate,
    SoundNote,
    VerdictNote,
)
from teaselpath.quarantine._parts import whole_request
from teaselpath.quarantine._trials import JUDGE_DELAY_S, SETTLE_S, Claim, TrialBoard
from teaselpath.quarantine._verdicts import Verdict, VerdictTable

__all__ = [
    "JUDGE_DELAY_S",
    "SETTLE_S",
    "SUSPECT_ENDS",
    "Admit",
    "Claim",
    "ClaimNote",
    "Decision",
    "EndNote",
    "EvidenceLedger",
    "Hold",
    "MemoryEnds",
    "Quarantine",
    "QuarantineUpdate",
    "Reject",
    "SoundNote",
    "TrialBoard",
    "Try",
    "Verdict",
    "VerdictNote",
    "VerdictTable",
    "claim_note",
    "verdict_note",
    "whole_request",
]
