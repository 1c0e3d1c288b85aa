"""Command line of the stand-ins: ``python -m standins engine --port 9001 ...``."""

import asyncio
import signal
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, get_args

import click
import msgspec

from standins._config import AllConfig, AnyConfig
from standins._serve import serve


@click.group()
def main() -> None:
    """Simulated platform services and endpoints, on loopback."""


async def _serve_all(configs: Sequence[AnyConfig]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with AsyncExitStack() as stack:
        for config in configs:
            running = await stack.enter_async_context(serve(config))
            kind = config.__struct_config__.tag
            click.echo(f"{kind} {config.id} listens at {running.url}")
        await stop.wait()


@main.command("all")
@click.option("--config", type=click.Path(exists=True, path_type=Path), required=True)
def serve_file(config: Path) -> None:
    """Serve the stand-ins listed in a JSON file: {"standins": [{"kind": "engine", ...}, ...]}."""
    try:
        parsed = msgspec.json.decode(config.read_bytes(), type=AllConfig)
    except msgspec.DecodeError as error:
        raise click.ClickException(f"{config}: {error}") from error
    asyncio.run(_serve_all(parsed.standins))


def _make_command(kind: type[AnyConfig]) -> click.Command:
    def callback(**values: Any) -> None:
        asyncio.run(_serve_all([kind(**values)]))

    options: list[click.Parameter] = []
    for field in msgspec.inspect.type_info(kind).fields:  # type: ignore[attr-defined]
        if not isinstance(field.type, msgspec.inspect.Metadata):
            continue
        description = (field.type.extra_json_schema or {}).get("description", "")
        flag = f"--{field.name.replace('_', '-')}"
        names = [f"{flag}/--no-{flag[2:]}"] if isinstance(field.default, bool) else [flag]
        options.append(
            click.Option(
                names,
                type=type(field.default),
                default=field.default,
                help=description,
                show_default=True,
            )
        )
    name = str(kind.__struct_config__.tag)
    return click.Command(name, params=options, callback=callback, help=kind.__doc__)


for _kind in get_args(AnyConfig):
    main.add_command(_make_command(_kind))


if __name__ == "__main__":
    main()
