"""Decision whether to import kept KV cache instead of recomputing it."""

from collections.abc import Sequence
from dataclasses import dataclass

from teaselpath.prefix._link import LinkBudget

# An import that would save less than this is not worth the order and its risk of failing.
MIN_SAVING_S = 0.01


@dataclass(slots=True, frozen=True)
class ImportSource:
    """A store or another engine that holds leading blocks of a chain.

    :param blocks: number of leading blocks that it holds.
    :param s_per_block: expected time to import one block, in seconds.
    :param link_bytes_per_block: bytes that cross the link between regions; 0 within a region.
    """

    name: str
    blocks: int
    s_per_block: float
    link_bytes_per_block: int = 0


@dataclass(slots=True, frozen=True)
class ImportPlan:
    """Blocks ``first`` to ``first + blocks`` are to be imported.

    :param saving_s: expected time saved against recomputing, in seconds.
    """

    source: str
    first: int
    blocks: int
    saving_s: float


def import_saving_s(source: ImportSource, matched: int, prefill_s_per_block: float) -> float:
    """Return the time that an import saves, in seconds; 0 if recomputing is as cheap."""
    missed = max(0, source.blocks - matched)
    return max(0.0, missed * (prefill_s_per_block - source.s_per_block))


def plan_import(
    sources: Sequence[ImportSource],
    matched: int,
    prefill_s_per_block: float,
    link: LinkBudget | None,
    now: float,
) -> ImportPlan | None:
    """Return the cheapest import that beats recomputing and fits the budget of the link.

    :param matched: leading blocks that the engine has already.
    :param link: charged for a source behind the link; without it such sources are not used.
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
