"""Signed requests of operators: status, top, explain, drain, revoke."""

import time
from typing import TYPE_CHECKING, Any

import msgspec
from eliot import log_message
from result import Err

from teaselpath.bundle import ControlRequest, NonceCache, open_control
from teaselpath.results import Code, Failure
from teaselpath.wire import Control, ControlReply

if TYPE_CHECKING:
    from teaselpath.control._plane import ControlPlane


class OperatorRequests:
    """Verifies and executes signed requests of operators.

    :param plane: control plane of this process.
    """

    def __init__(self, plane: "ControlPlane"):
        self.plane = plane
        self.nonces = NonceCache()

    def answer(self, control: Control) -> ControlReply:
        """Execute one request; an untrusted one is refused and logged."""
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
            case "top":
                return self._top()
            case "explain":
                records = self.plane.decisions.for_request(str(arguments.get("request_id", "")))
                return {"records": [msgspec.structs.asdict(record) for record in records]}
            case "explain_workspace":
                return self._explain_workspace(str(arguments.get("workspace", "")))
            case "drain":
                self.plane.drain_requested.set()
                return {"host": self.plane.settings.host, "draining": True}
            case "revoke":
                return self._revoke(str(arguments.get("record", "")))
        return Failure(Code.INVALID_FIELD, f"unknown command {request.command!r}")

    def _status(self) -> dict[str, Any]:
        plane, state = self.plane, self.plane.state
        since_s = round(time.monotonic() - state.accepted_at, 1) if state.bundle else None
        return {
            "host": plane.settings.host,
            "incarnation": plane.incarnation,
            "version": state.version,
            "offset": state.offset,
            "digest": state.digest.hex(),
            "since_s": since_s,
            "reason": self._stale_reason(),
            "revocations": len(state.revocations.entries),
            "members": plane.count_members(),
        }

    def _stale_reason(self) -> str:
        plane = self.plane
        if plane.state.has_gap:
            return "the log was trimmed past this node, and no peer has the records"
        if not plane.log_is_up:
            return "the log does not answer"
        return "" if plane.state.bundle else "no bundle was accepted"

    def _top(self) -> dict[str, Any]:
        plane = self.plane
        role_state = plane.role.describe() if plane.role else {}
        state = plane.members.self_member.state
        return {"role": plane.settings.role, "state": state, **role_state}

    def _explain_workspace(self, workspace: str) -> dict[str, Any]:
        plane = self.plane
        refusals: dict[str, int] = {}
        for record in plane.decisions.for_workspace(workspace):
            is_own = record.host == plane.settings.host
            if is_own and record.step == "ended" and record.code != Code.OK:
                name = f"{Code(record.code).name.lower()} (version {record.bundle_version})"
                refusals[name] = refusals.get(name, 0) + 1
        share = plane.role.describe_workspace(workspace) if plane.role else {}
        return {**share, "refusals": refusals, "version": plane.state.version}

    def _revoke(self, record: str) -> dict[str, Any] | Failure:
        try:
            data = bytes.fromhex(record)
        except ValueError:
            return Failure(Code.INVALID_FIELD, "must be hexadecimal", path="$.record")
        if not self.plane.add_revocation(data):
            return Failure(Code.UNTRUSTED_OPERATOR, "the revocation was refused")
        return {"host": self.plane.settings.host, "revoked": True}


def _error(request_id: str, failure: Failure) -> ControlReply:
    body = msgspec.json.encode({"detail": failure.detail})
    return ControlReply(request_id, int(failure.code), body)
