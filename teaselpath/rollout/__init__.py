"""Rollouts of model weights and of software.

The lease for sending orders to engines, the schedule of weights orders, and plan and judgement of
the rollouts of software that operators ask for.
"""

from teaselpath.rollout._evidence import RolloutEvidence
from teaselpath.rollout._exposure import (
    SPENT_FRACTION,
    TURN_S,
    Exposure,
    exposed_engines,
    fraction_of,
)
from teaselpath.rollout._judge import OLD_VERSION, Answers, VersionJudge
from teaselpath.rollout._lease import LeaseRecord, LeaseState, OrderLease, fence_of
from teaselpath.rollout._messages import AnswerCounts, RolloutNote, TimeCounts
from teaselpath.rollout._software import (
    DECIDER_TIMEOUT_S,
    Situation,
    begin,
    plan,
    roll_back,
)
from teaselpath.rollout._times import UsualTimes, bin_of, size_of
from teaselpath.rollout._weights import (
    Action,
    EngineStatus,
    FetchReport,
    Loaded,
    LoadFailed,
    SendWeightsOrder,
    WeightsRollout,
)

__all__ = [
    "DECIDER_TIMEOUT_S",
    "OLD_VERSION",
    "SPENT_FRACTION",
    "TURN_S",
    "Action",
    "AnswerCounts",
    "Answers",
    "EngineStatus",
    "Exposure",
    "FetchReport",
    "LeaseRecord",
    "LeaseState",
    "LoadFailed",
    "Loaded",
    "OrderLease",
    "RolloutEvidence",
    "RolloutNote",
    "SendWeightsOrder",
    "Situation",
    "TimeCounts",
    "UsualTimes",
    "VersionJudge",
    "WeightsRollout",
    "begin",
    "bin_of",
    "exposed_engines",
    "fence_of",
    "fraction_of",
    "plan",
    "roll_back",
    "size_of",
]
