"""Quota cores connected by in-memory queues, with a record of all charges."""

from collections import defaultdict

from teaselpath.quota import (
    Bucket,
    Denied,
    FromPeer,
    Granted,
    LeaseConfirmed,
    LeaveStarted,
    LiveEntriesChanged,
    LiveEntry,
    QuotaCore,
    ReserveTokens,
    SettleTokens,
    TableRecord,
    WorkspaceQuota,
    WorkspacesChanged,
    _state,
)
from teaselpath.wire import Append, Send, decode, encode

EPSILON = 1e-6


class RecordedBucket(Bucket):
    """Bucket that records each charge as [time, tokens] in ``charges``."""

    charges: dict[tuple[int, str], list[float]] = {}
    clock = [0.0]

    __slots__ = ()

    def try_reserve(self, reservation_id, tokens, now):
        granted = super().try_reserve(reservation_id, tokens, now)
        if granted:
            self.charges[id(self), reservation_id] = [self.clock[0], tokens]
        return granted

    def settle(self, reservation_id, used, now):
        refund = super().settle(reservation_id, used, now)
        if refund:
            self.charges[id(self), reservation_id][1] -= refund
        return refund


class Cluster:
    """Simulated hosts with one core each, a log, a message queue and a clock."""

    def __init__(self, regions, quotas):
        self.regions = dict(regions)
        self.quotas = dict(quotas)
        self.now = 1000.0
        self.offsets = {host: 100.0 * i for i, host in enumerate(self.regions)}
        self.cores = {}
        self.incarnations = defaultdict(int)
        self.next_offsets = {}
        self.applied = {}
        self.queue = []
        self.appends = []
        self.log = []
        self.log_up = True
        self.paused = set()
        self.partitions = set()
        self.delisted = set()
        self.answers = {}
        self.unsettled = {}
        self.reservations = 0
        self.buckets = {}
        self.limit_changes = []
        RecordedBucket.charges.clear()
        self.original_bucket = Bucket
        vars(_state)["Bucket"] = RecordedBucket
        for host in self.regions:
            self.start(host)

    def close(self):
        vars(_state)["Bucket"] = self.original_bucket

    def call(self, host, event, back_s=0.0):
        """Pass an event (None: tick) to a core and apply its actions.

        :param back_s: seconds by which the host's clock is set back in this call.
        """
        core = self.cores[host]
        now = self.now + self.offsets[host] - back_s
        RecordedBucket.clock[0] = self.now
        actions = core.tick(now) if event is None else core.handle(event, now)
        for action in actions:
            match action:
                case Send(to, message):
                    self.queue.append((host, to, encode(message)))
                case Append(_, data):
                    self.appends.append(data)
                case Granted(reservation_id):
                    assert reservation_id not in self.answers
                    self.answers[reservation_id] = action
                    self.unsettled[reservation_id] = host
                case Denied(reservation_id):
                    assert reservation_id not in self.answers
                    self.answers[reservation_id] = action
        for share in core.state.shares.values():
            self.buckets[id(share.bucket)] = (share.workspace, share.bucket)
        return actions

    def start(self, host):
        self.incarnations[host] += 1
        self.cores[host] = QuotaCore(host, self.regions[host], self.incarnations[host])
        self.next_offsets[host] = 0
        self.apply_bundle(host)
        self.list_hosts(host)

    def kill(self, host):
        self.cores.pop(host, None)
        self.applied.pop(host, None)
        self.paused.discard(host)
        self.unsettled = {r: h for r, h in self.unsettled.items() if h != host}

    def running(self):
        return [host for host in self.cores if host not in self.paused]

    def apply_bundle(self, host):
        self.applied[host] = dict(self.quotas)
        workspaces = [WorkspaceQuota(w, rate, burst) for w, (rate, burst) in self.quotas.items()]
        self.call(host, WorkspacesChanged(workspaces))
        self.record_limits()

    def list_hosts(self, host):
        entries = [LiveEntry(h, r) for h, r in self.regions.items() if h not in self.delisted]
        self.call(host, LiveEntriesChanged(entries))

    def record_limits(self):
        """Record the highest rate and burst that any host applies from now on."""
        limits: dict[str, tuple[float, float]] = {}
        for quotas in self.applied.values():
            for workspace, (rate, burst) in quotas.items():
                known = limits.get(workspace, (0.0, 0.0))
                limits[workspace] = (max(known[0], rate), max(known[1], burst))
        self.limit_changes.append((self.now, limits))

    def deliver(self, index, duplicate=False):
        sender, to, data = self.queue[index]
        if to in self.paused:
            return
        if not duplicate:
            del self.queue[index]
        if to in self.cores and frozenset((sender, to)) not in self.partitions:
            self.call(to, FromPeer(sender, decode(data).unwrap()))

    def deliver_all(self):
        for _ in range(10):
            waiting = [item for item in self.queue if item[1] in self.paused]
            batch = [item for item in self.queue if item[1] not in self.paused]
            self.queue = batch
            for _ in batch:
                self.deliver(0)
            self.queue += waiting

    def append(self, index=0, duplicate=False):
        if self.log_up:
            self.log.append(self.appends[index])
            if not duplicate:
                del self.appends[index]

    def read_log(self, host):
        if self.log_up:
            started_at = self.now + self.offsets[host]
            for offset in range(self.next_offsets[host], len(self.log)):
                self.call(host, TableRecord(offset, self.log[offset]))
            self.next_offsets[host] = len(self.log)
            self.call(host, LeaseConfirmed(started_at))

    def advance(self, seconds, tick=True):
        self.now += seconds
        if tick:
            for host in self.running():
                self.call(host, None)

    def run(self, rounds, step=0.1):
        """Let time pass without further faults."""
        for _ in range(rounds):
            self.advance(step)
            self.deliver_all()
            while self.appends and self.log_up:
                self.append()
            for host in self.running():
                self.read_log(host)

    def run_with_one_reader(self, host, rounds, step):
        """Let time pass while only one host reads the log."""
        for _ in range(rounds):
            self.advance(step)
            self.deliver_all()
            while self.appends and self.log_up:
                self.append()
            if host in self.running():
                self.read_log(host)

    def reserve(self, host, workspace, tokens, wait_s=0.5):
        self.reservations += 1
        reservation_id = f"r{self.reservations}"
        deadline = self.now + self.offsets[host] + wait_s
        self.call(host, ReserveTokens(reservation_id, workspace, tokens, deadline))
        return reservation_id

    def settle(self, reservation_id, used):
        self.call(self.unsettled.pop(reservation_id), SettleTokens(reservation_id, used))

    def leave(self, host):
        self.call(host, LeaveStarted())

    def check_charges(self):
        """Check that no interval has charges beyond rate x t + burst, at the limits in force."""
        by_workspace = defaultdict(list)
        for (bucket, _), (at, tokens) in RecordedBucket.charges.items():
            by_workspace[self.buckets[bucket][0]].append((at, tokens))
        for workspace, charges in by_workspace.items():
            charges.sort()
            for first in range(len(charges)):
                total = 0.0
                for last in range(first, len(charges)):
                    total += charges[last][1]
                    allowed = self.allowance(workspace, charges[first][0], charges[last][0])
                    assert total <= allowed + EPSILON, f"{workspace}: {total} > {allowed}"

    def allowance(self, workspace, start, end):
        burst = tokens = 0.0
        ends = [at for at, _ in self.limit_changes[1:]] + [float("inf")]
        for (at, limits), until in zip(self.limit_changes, ends, strict=True):
            if until < start or at > end:
                continue
            rate, limit = limits.get(workspace, (0.0, 0.0))
            burst = max(burst, limit)
            tokens += rate * max(0.0, min(end, until) - max(start, at))
        return burst + tokens

    def check_shares(self):
        """Check that spendable fractions add up to at most one and no bucket overflows."""
        for workspace in {w for core in self.cores.values() for w in core.state.shares}:
            total = self.in_flight(workspace)
            for core in self.cores.values():
                state = core.state
                if workspace not in state.shares:
                    continue
                share = state.shares[workspace]
                bucket = share.bucket
                assert bucket.level + bucket.refundable <= bucket.capacity + EPSILON
                total += self.spendable(state, share)
            assert total <= 1.0 + EPSILON, f"{workspace}: fractions add up to {total}"

    def spendable(self, state, share):
        """Return the fraction that a process could spend if it were called now."""
        now = max(state.now, self.now + self.offsets[state.host])
        if not state.has_read_log or now > state.lease_until:
            return 0.0
        borrowed = share.borrowed.items()
        return share.lendable_fraction + sum(
            f for h, f in borrowed if now < state.links[h].valid_until
        )

    def in_flight(self, workspace):
        """Return the fraction in transfers that a receiver could still apply."""
        total = 0.0
        for core in self.cores.values():
            sender = core.state
            for link in sender.links.values():
                receiver = self.cores.get(link.host)
                for number, message in link.outbox.items():
                    if message.workspace != workspace or receiver is None:
                        continue
                    reverse_link = receiver.state.links.get(sender.host)
                    if reverse_link is None or message.to_incarnation != receiver.state.incarnation:
                        continue
                    current = message.table == receiver.state.table.number
                    epoch = (
                        reverse_link.epoch
                        if message.lender == link.host
                        else reverse_link.lender_epoch
                    )
                    new = (
                        number >= reverse_link.oldest_accepted
                        and number not in reverse_link.accepted_numbers
                    )
                    if current and new and message.epoch == epoch:
                        total += message.capacity
        return total
