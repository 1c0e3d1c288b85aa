"""Quota service of the entry: connects the quota core to the requests, the peers and the log."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from teaselpath.quota import Denied, Granted, QuotaCore, ReserveTokens, SettleTokens
from teaselpath.results import Code, Failure, Ran
from teaselpath.wire import Append, Send

TICK_S = 0.05
# A request waits up to this long for tokens before it is refused: a caller's retry would take
# longer, and the bucket of a share that was just transferred or restarted fills up in this time.
MAX_TOKEN_WAIT_S = 2.0
STARTUP_TIMEOUT_S = 10.0


class QuotaService:
    """Reserves tokens for requests.

    :param core: quota core of this process.
    :param send: sends a message to another entry; the message may be lost.
    :param append: appends a record to a stream of the log in the background.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        core: QuotaCore,
        send: Callable[[Send], None],
        append: Callable[[Append], None],
        clock: Callable[[], float],
    ):
        self.core = core
        self.send = send
        self.append = append
        self.clock = clock
        # Without the log no share becomes active. The entry then reports itself ready after this
        # timeout, because entries that already run can grant tokens.
        self.ready_deadline = clock() + STARTUP_TIMEOUT_S
        self.pending_reservations: dict[str, asyncio.Future[Result[None, Failure]]] = {}

    async def reserve(
        self, reservation_id: str, workspace: str, tokens: int, deadline: float
    ) -> Result[None, Failure]:
        """Reserve tokens, waiting a short time for them but not beyond the deadline."""
        deadline = min(deadline, self.clock() + MAX_TOKEN_WAIT_S)
        future = asyncio.get_running_loop().create_future()
        self.pending_reservations[reservation_id] = future
        try:
            self.handle(ReserveTokens(reservation_id, workspace, tokens, deadline))
            async with asyncio.timeout(max(0.0, deadline - self.clock()) + TICK_S):
                return await future
        except TimeoutError:
            self.settle(reservation_id, 0)
            detail = f"no answer about the rate of workspace {workspace} in time"
            return Err(Failure(Code.QUOTA_UNCONFIRMED, detail, Ran.NOT_RUN, 1.0))
        except asyncio.CancelledError:
            self.settle(reservation_id, 0)
            raise
        finally:
            del self.pending_reservations[reservation_id]

    def not_ready_reason(self) -> str:
        """Return why no tokens can be granted yet, or an empty string."""
        core = self.core
        if self.clock() >= self.ready_deadline:
            return ""
        if not core.state.has_valid_lease():
            return "the lease of the quota shares is not confirmed"
        table = core.state.table
        is_active = table.settled and core.state.host in table.slots and not core.ownership.pending
        return "" if is_active else "the quota shares are not active yet"

    def describe(self, workspace: str) -> dict:
        """Return the local share of a workspace: rate (tokens/s), capacity and balance (tokens)."""
        share = self.core.state.shares.get(workspace)
        if share is None:
            return {}
        share.bucket.accrue(self.clock())
        return {
            "rate": round(share.bucket.rate, 1),
            "capacity": round(share.bucket.capacity, 1),
            "balance": round(share.bucket.level, 1),
        }

    def settle(self, reservation_id: str, used: int) -> None:
        """Settle a reservation with the number of tokens used."""
        self.handle(SettleTokens(reservation_id, used))

    def handle(self, event) -> None:
        """Pass an event to the core and execute the resulting actions."""
        self._execute(self.core.handle(event, self.clock()))

    async def run(self) -> None:
        """Call the core's timers until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._execute(self.core.tick(self.clock()))

    def _execute(self, actions: list) -> None:
        for action in actions:
            match action:
                case Granted(reservation_id=reservation_id):
                    self._resolve(reservation_id, Ok(None))
                case Denied():
                    self._resolve(action.reservation_id, Err(_denial(action)))
                case Send():
                    self.send(action)
                case Append():
                    self.append(action)

    def _resolve(self, reservation_id: str, result: Result[None, Failure]) -> None:
        future = self.pending_reservations.get(reservation_id)
        if future is not None and not future.done():
            future.set_result(result)
        elif result.is_ok():
            # The request timed out or was cancelled before the grant arrived.
            self.settle(reservation_id, 0)


def _denial(action: Denied) -> Failure:
    detail = "the workspace is over its rate and burst"
    if action.code == Code.LARGER_THAN_BURST:
        detail = "the request needs more tokens than the workspace's burst"
    elif action.code == Code.QUOTA_UNCONFIRMED:
        detail = "no share of the workspace's rate is confirmed at this moment"
    return Failure(Code(action.code), detail, Ran.NOT_RUN, action.retry_after_s)
