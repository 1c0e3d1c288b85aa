"""Operators' requests: status, explain, drain, revoke."""

import time
from typing import TYPE_CHECKING, Any

import msgspec
from eliot import log_message
from result import Err

from teaselpath.bundle import ControlRequest, NonceMemory, open_control
from teaselpath.results import Code, Failure
from teaselpath.wire import Control, ControlReply, DecisionRecord

if TYPE_CHECKING:
    from teaselpath.control._plane import ControlPlane

MAX_RECORDS = 500


class OperatorRequests:
    """Checks and answers signed requests of operators.

    :param plane: control plane of this process.
    """

    def __init__(self, plane: "ControlPlane"):
        self.plane = plane
        self.nonces = NonceMemory()

    def answer(self, control: Control) -> ControlReply:
        """Answer one request; an untrusted one is refused and logged."""
        plane = self.plane
        opened = open_control(
            control,
            plane.settings.operator_key_bytes(),
            self.nonces,
            int(time.time() * 1000),
            plane.settings.host,
        )
        if isinstance(opened, Err):
            failure = opened.err_value
            log_message("operator_refused", code=int(failure.code), reason=failure.detail)
            return _error(control.request_id, failure)
        request = opened.ok_value
        log_message("operator_request", command=request.command)
        result = self._run(request)
        if isinstance(result, Failure):
            return _error(control.request_id, result)
        return ControlReply(control.request_id, int(Code.OK), msgspec.json.encode(result))

    def _run(self, request: ControlRequest) -> dict[str, Any] | Failure:
        arguments = request.arguments
        match request.command:
            case "status":
                return self._status()
            case "explain":
                records = self.plane.decisions.for_request(str(arguments.get("request_id", "")))
                return {"records": [_plain(record) for record in records]}
            case "explain_workspace":
                return self._workspace(str(arguments.get("workspace", "")))
            case "drain":
                self.plane.drain_requested.set()
                return {"host": self.plane.settings.host, "draining": True}
            case "revoke":
                return self._revoke(str(arguments.get("record", "")))
        return Failure(Code.INVALID_FIELD, f"unknown command {request.command!r}")

    def _status(self) -> dict[str, Any]:
        plane, state = self.plane, self.plane.state
        members: dict[str, int] = {}
        for member in plane.members.members.values():
            members[member.state] = members.get(member.state, 0) + 1
        return {
            "host": plane.settings.host,
            "role": plane.settings.role,
            "region": plane.settings.region,
            "failure_domain": plane.settings.failure_domain,
            "incarnation": plane.incarnation,
            "version": state.version,
            "offset": state.offset,
            "digest": state.digest.hex(),
            "in_force_s": round(time.monotonic() - state.accepted_at, 3) if state.bundle else None,
            "revocations": len(state.revocations.entries),
            "log_up": plane.log_is_up,
            "has_gap": state.has_gap,
            "members": members,
            "role_state": plane.role.describe("") if plane.role else {},
        }

    def _workspace(self, workspace: str) -> dict[str, Any]:
        records = self.plane.decisions.for_workspace(workspace)[-MAX_RECORDS:]
        refusals: dict[str, int] = {}
        for record in records:
            if record.code != Code.OK:
                key = f"{Code(record.code).name} v{record.bundle_version}"
                refusals[key] = refusals.get(key, 0) + 1
        return {
            "host": self.plane.settings.host,
            "workspace": workspace,
            "refusals": refusals,
            "state": self.plane.role.describe(workspace) if self.plane.role else {},
            "records": [_plain(record) for record in records[-20:]],
        }

    def _revoke(self, record: str) -> dict[str, Any] | Failure:
        try:
            data = bytes.fromhex(record)
        except ValueError:
            return Failure(Code.INVALID_FIELD, "must be hexadecimal", path="$.record")
        if not self.plane.add_revocation(data):
            return Failure(Code.UNTRUSTED_OPERATOR, "the revocation was refused")
        return {"host": self.plane.settings.host, "revoked": True}


def _plain(record: DecisionRecord) -> dict[str, Any]:
    return msgspec.structs.asdict(record)


def _error(request_id: str, failure: Failure) -> ControlReply:
    body = msgspec.json.encode({"error": str(failure)})
    return ControlReply(request_id, int(failure.code), body)
