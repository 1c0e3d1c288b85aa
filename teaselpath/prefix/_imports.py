"""Decision whether to import KV cache blocks from a store or another engine."""

from collections.abc import Sequence
from dataclasses import dataclass

from teaselpath.prefix._link import LinkBudget

# An import that saves less than this does not justify its overhead and its risk of failure.
MIN_SAVING_S = 0.01


@dataclass(slots=True, frozen=True)
class ImportSource:
    """A store or another engine that has leading blocks of a chain.

    :param blocks: number of leading blocks that the source has.
    :param s_per_block: expected time to import one block, in seconds.
    :param link_bytes_per_block: bytes that cross the link between regions; 0 within a region.
    """

    name: str
    blocks: int
    s_per_block: float
    link_bytes_per_block: int = 0


@dataclass(slots=True, frozen=True)
class ImportPlan:
    """Import of ``blocks`` blocks from block ``first`` on.

    :param saving_s: expected time saved compared with recomputing, in seconds.
    """

    source: str
    first: int
    blocks: int
    saving_s: float


def import_saving_s(source: ImportSource, matched: int, prefill_s_per_block: float) -> float:
    """Return the time that an import saves, in seconds; 0 if it is not faster than recomputing."""
    missed = max(0, source.blocks - matched)
    return max(0.0, missed * (prefill_s_per_block - source.s_per_block))


def plan_import(
    sources: Sequence[ImportSource],
    matched: int,
    prefill_s_per_block: float,
    link: LinkBudget | None,
    now: float,
) -> ImportPlan | None:
    """Return the import that saves the most time among those that the link budget allows.

    :param matched: number of leading blocks that the engine already has.
    :param link: charged for a source in the other region; if None, such sources are not used.
    :returns: None if no such import saves at least ``MIN_SAVING_S`` compared with recomputing.
    """

    def saving_s(source: ImportSource) -> float:
        return import_saving_s(source, matched, prefill_s_per_block)

    for source in sorted(sources, key=saving_s, reverse=True):
        if saving_s(source) < MIN_SAVING_S:
            return None
        blocks = source.blocks - matched
        size = blocks * source.link_bytes_per_block
        if size == 0 or (link is not None and link.try_spend(size, now)):
            return ImportPlan(source.name, matched, blocks, saving_s(source))
    return None
