"""Recorded histories, violations of invariants, and the checker decorator."""

from collections.abc import Callable, Iterable, Iterator
from functools import wraps
from typing import TypeVar

import msgspec

from teaselpath.history._events import Event

E = TypeVar("E")

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Event)


class History:
    """Events ordered by time.

    :param events: events in any order; events with equal times keep theirs.
    :param skipped: number of lines that could not be decoded, for instance truncated by a kill.
    """

    def __init__(self, events: Iterable[Event], skipped: int = 0) -> None:
        self.events = sorted(events, key=lambda event: event.at)
        self.skipped = skipped

    def of_type(self, event_type: type[E]) -> list[E]:
        """Return the events of one type."""
        return [event for event in self.events if isinstance(event, event_type)]

    @property
    def end(self) -> float:
        """Time of the last event."""
        return self.events[-1].at if self.events else 0.0


class Violation(msgspec.Struct, frozen=True):
    """A counterexample to an invariant.

    :param invariant: P1 to P13.
    :param at: time of the latest of its events, in seconds.
    """

    invariant: str
    at: float
    detail: str
    events: tuple[Event, ...] = ()

    def __str__(self) -> str:
        """Return the violation and its events as text, one event per line."""
        lines = [f"{self.invariant} violated at {self.at:.3f} s: {self.detail}"]
        return "\n  ".join(lines + [encode_event(event).decode().strip() for event in self.events])


Counterexamples = Iterator[tuple[str, tuple[Event, ...]]]
Checker = Callable[[History], list[Violation]]


def checker(invariant: str) -> Callable[[Callable[[History], Counterexamples]], Checker]:
    """Return a decorator that turns a generator of counterexamples into a checker.

    The checker returns the earliest counterexample only.
    """

    def decorate(find: Callable[[History], Counterexamples]) -> Checker:
        @wraps(find)
        def check(history: History) -> list[Violation]:
            found = [
                Violation(
                    invariant, max((event.at for event in events), default=0.0), detail, events
                )
                for detail, events in find(history)
            ]
            return [min(found, key=lambda violation: violation.at)] if found else []

        return check

    return decorate


def encode_event(event: Event) -> bytes:
    """Encode an event as one JSON line."""
    return _encoder.encode(event) + b"\n"


def read_history(lines: Iterable[bytes]) -> History:
    """Read JSON lines from any number of writers; undecodable lines are skipped and counted."""
    events: list[Event] = []
    skipped = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            events.append(_decoder.decode(line))
        except (msgspec.DecodeError, UnicodeDecodeError):
            skipped += 1
    return History(events, skipped)
