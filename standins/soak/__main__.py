"""Command line of the soak test: ``python -m standins.soak --seeds 1-50``."""

import asyncio
import sys
import tempfile
from pathlib import Path

import click

from standins.soak import SoakPlan, run_soak


@click.command()
@click.option("--seeds", default="1-5", help="Range of seeds, or a single seed.")
@click.option("--seconds", default=20.0, help="Duration of fault injection, in seconds.")
@click.option("--gateways", default=3)
@click.option("--engines", default=4)
@click.option("--callers", default=8)
@click.option("--jobs", default=2, help="Concurrent runs.")
@click.option("--logs", type=click.Path(path_type=Path), default=None, help="Directory for logs.")
def main(seeds, seconds, gateways, engines, callers, jobs, logs) -> None:
    """Run the soak test for a range of seeds; the exit code is 1 if a guarantee was violated."""
    first, _, last = seeds.partition("-")
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    plans = [
        SoakPlan(seed, seconds, gateways=gateways, engines=engines, callers=callers)
        for seed in range(int(first), int(last or first) + 1)
    ]
    failed = asyncio.run(_run_all(plans, folder, jobs))
    click.echo(f"{len(plans) - failed} passed, {failed} failed; logs in {folder}")
    sys.exit(1 if failed else 0)


async def _run_all(plans: list[SoakPlan], folder: Path, jobs: int) -> int:
    semaphore = asyncio.Semaphore(jobs)

    async def run(plan: SoakPlan) -> bool:
        async with semaphore:
            run_folder = folder / f"seed-{plan.seed}"
            run_folder.mkdir(parents=True, exist_ok=True)
            report = await run_soak(plan, run_folder)
        statuses = dict(sorted(report.statuses.items()))
        click.echo(
            f"seed {plan.seed}: {len(report.faults)} faults, answers {statuses}, "
            f"served after recovery {report.served_fraction:.3f}, "
            f"longest stall {report.longest_stall_s:.2f} s, violations {len(report.violations)}"
        )
        for line in report.violations[:10]:
            click.echo(f"  {line}")
        (run_folder / "faults.txt").write_text(
            "".join(f"{at} {text}\n" for at, text in report.faults)
        )
        return not report.violations

    results = await asyncio.gather(*(run(plan) for plan in plans))
    return results.count(False)


if __name__ == "__main__":
    main()
