"""Failure value that functions return instead of raising an exception."""

from dataclasses import dataclass

from teaselpath.results._codes import Code, Ran


@dataclass(slots=True, frozen=True)
class Failure:
    """An expected error.

    :param code: numbered result code.
    :param detail: human-readable sentence, without secrets.
    :param ran: whether the request reached an endpoint.
    :param retry_after_s: seconds after which a retry may succeed; 0 if unknown.
    :param path: JSON path of the invalid field, if input validation failed.
    """

    code: Code
    detail: str = ""
    ran: Ran = Ran.NOT_RUN
    retry_after_s: float = 0.0
    path: str = ""

    def __str__(self) -> str:
        """Format as ``path: detail (code 1002 INVALID_FIELD)``."""
        prefix = f"{self.path}: " if self.path else ""
        return f"{prefix}{self.detail} (code {self.code.value} {self.code.name})"
