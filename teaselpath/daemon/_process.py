"""Process of an entry or agent: tasks, signals and graceful shutdown."""

import asyncio
import signal
import time
from contextlib import nullcontext
from pathlib import Path

import aiohttp
import uvicorn
from eliot import log_message
from result import Err, Ok
from starlette.applications import Starlette

from teaselpath.agent import AgentService
from teaselpath.clients import Settings, load_settings, read_secret
from teaselpath.control import ControlPlane, StatusPages
from teaselpath.entry import EntryApp, EntryService
from teaselpath.transport import CurveKeys

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_STOP_TIMEOUT = 3
DRAIN_POLL_INTERVAL_S = 0.05
# Time for the platform's load balancer and the other nodes to learn of the shutdown; new work still
# arrives until then.
STOP_PROPAGATION_S = 0.5


class Process:
    """Runs an entry or agent until a signal or an operator stops it.

    :param settings: validated settings.
    :param path: settings file, read again on SIGHUP.
    """

    def __init__(self, settings: Settings, path: Path):
        self.settings = settings
        self.path = path
        self.stop_requested = asyncio.Event()
        self.signal_count = 0

    async def run(self) -> int:
        """Run until the process is stopped.

        :returns: exit code of the process.
        """
        keys = self._read_keys()
        if keys is None:
            return EXIT_FAILED
        self._install_signals()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as session:
            # Increases with each start, unless the wall clock is set back by more than the time
            # between two starts. A peer that has recorded a higher incarnation ignores this process
            # as long as its own is lower.
            incarnation = time.time_ns() // 1_000_000
            self.plane = ControlPlane(self.settings, keys, session, incarnation)
            if self.settings.role == "entry":
                return await self._run_entry()
            return await self._run_agent(session)

    def _read_keys(self) -> CurveKeys | None:
        control = self.settings.control
        match read_secret(control.curve_secret_file):
            case Ok(secret):
                return CurveKeys(control.curve_public.encode(), secret)
            case Err(failure):
                log_message("start_failed", reason=str(failure))
        return None

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload_keys)

    def _on_stop_signal(self) -> None:
        self.signal_count += 1
        self.stop_requested.set()
        if self.signal_count > 1:
            log_message("stopped_at_once")
            raise SystemExit(EXIT_FAILED)

    def _reload_keys(self) -> None:
        loaded = load_settings(self.path)
        if isinstance(loaded, Err):
            log_message("reload_failed", reason="; ".join(str(f) for f in loaded.err_value))
            return
        keys = loaded.ok_value.control.accepted_curve_keys
        self.plane.accepted_curve_keys = {key.encode() for key in keys}
        self.plane.refresh_connections()
        log_message("reloaded", accepted_curve_keys=len(keys))

    async def _run_entry(self) -> int:
        service = EntryService(self.plane)
        return await self._run_role(service, EntryApp(service).build())

    async def _run_agent(self, session: aiohttp.ClientSession) -> int:
        service = AgentService(self.plane, session)
        pages = StatusPages(self.plane, service.not_ready_reason)
        return await self._run_role(service, Starlette(routes=pages.routes()))

    async def _run_role(self, service: EntryService | AgentService, app: Starlette) -> int:
        server = _make_server(self.settings, app)
        tasks = [
            asyncio.create_task(self.plane.run(service), name="control plane"),
            asyncio.create_task(service.run(), name=self.settings.role),
            asyncio.create_task(server.serve(), name="http"),
        ]
        await self.plane.started.wait()
        service.follow_log()
        return await self._run_until_stopped(service, tasks, server)

    async def _run_until_stopped(
        self,
        service: EntryService | AgentService,
        tasks: list[asyncio.Task],
        server: uvicorn.Server,
    ) -> int:
        stop = asyncio.create_task(self._wait_for_stop())
        await asyncio.wait({stop, *tasks}, return_when=asyncio.FIRST_COMPLETED)
        failed = [task for task in tasks if task.done()]
        for task in failed:
            log_message("task_failed", task=task.get_name(), error=repr(task.exception()))
        stop.cancel()
        code = EXIT_FAILED if failed else await self._drain(service)
        server.should_exit = True
        await asyncio.wait(tasks[-1:], timeout=2.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        log_message("stopped", exit_code=code)
        return code

    async def _wait_for_stop(self) -> None:
        signal_received = asyncio.create_task(self.stop_requested.wait())
        operator_requested = asyncio.create_task(self.plane.drain_requested.wait())
        try:
            await asyncio.wait(
                {signal_received, operator_requested}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            signal_received.cancel()
            operator_requested.cancel()

    async def _drain(self, service: EntryService | AgentService) -> int:
        """Refuse new work, wait for running work to end, and log what does not end in time."""
        deadline = time.monotonic() + self.settings.stop_timeout_s
        log_message("leaving", timeout_s=self.settings.stop_timeout_s)
        service.leave()
        self.plane.leave()
        await asyncio.sleep(STOP_PROPAGATION_S)
        while not service.is_idle():
            if time.monotonic() >= deadline:
                log_message("stop_timeout", unfinished=service.unfinished_requests())
                return EXIT_STOP_TIMEOUT
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return EXIT_OK


def _make_server(settings: Settings, app: Starlette) -> uvicorn.Server:
    http = settings.http
    config = uvicorn.Config(
        app,
        host=http.address,
        port=http.port,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        limit_concurrency=settings.limits.connections,
        timeout_keep_alive=30,
        ssl_certfile=http.tls_cert or None,
        ssl_keyfile=http.tls_key_file or None,
    )
    return _Server(config)


class _Server(uvicorn.Server):
    """Uvicorn server without signal handlers; ``Process`` handles the signals."""

    def capture_signals(self):
        """Return a context that installs no signal handlers."""
        return nullcontext()
