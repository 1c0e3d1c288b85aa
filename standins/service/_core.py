"""Records and execution counts of the plain service, without I/O."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

COLLECTIONS = ("bookings", "payments", "sponsorships", "schedule", "confirmations")


@dataclass(slots=True)
class ServiceCore:
    """Collections of records; every write is executed and counted, also duplicates.

    The service does not deduplicate by idempotency key, so a call that the router delivered
    twice appears as two executions.
    """

    records: dict[str, dict[str, dict[str, Any]]] = field(
        default_factory=lambda: {name: {} for name in COLLECTIONS}
    )
    by_request: Counter[str] = field(default_factory=Counter)
    by_key: Counter[str] = field(default_factory=Counter)
    executions: list[dict[str, Any]] = field(default_factory=list)
    reads: int = 0

    def fill(self, count: int) -> None:
        """Create records with the ids 0 to ``count - 1`` in the collections that callers read."""
        for name in ("sponsorships", "schedule"):
            for number in map(str, range(count)):
                value = {"name": f"{name} {number}"}
                self.records[name][number] = {"id": number, "revision": 0, "value": value}

    def execute(
        self,
        method: str,
        collection: str,
        record_id: str,
        value: Any,
        request_id: str,
        key: str,
        received_at: float = 0.0,
    ) -> tuple[int, dict[str, Any]]:
        """Execute a call received at ``received_at``; return the HTTP status and the body."""
        if collection not in self.records:
            return 404, {"error": {"message": f"no collection {collection}"}}
        records = self.records[collection]
        if method == "GET":
            self.reads += 1
            if not record_id:
                return 200, {"records": list(records.values())}
            if record_id in records:
                return 200, records[record_id]
            return 404, {"error": {"message": f"no record {record_id}"}}
        number = len(self.executions) + 1
        self.by_request[request_id] += 1
        self.by_key[key] += 1
        if method == "DELETE":
            records.pop(record_id, None)
            record: dict[str, Any] = {"id": record_id, "deleted": True}
        else:
            record_id = record_id or f"{collection}-{number}"
            revision = records.get(record_id, {}).get("revision", 0) + 1
            record = {"id": record_id, "revision": revision, "execution": number, "value": value}
            records[record_id] = record
        self.executions.append(
            {
                "number": number,
                "method": method,
                "collection": collection,
                "id": record_id,
                "request_id": request_id,
                "received_at": received_at,
                "idempotency_key": key,
            }
        )
        return (201 if method == "POST" else 200), record
