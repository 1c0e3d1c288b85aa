"""Bundles: the signed, versioned configuration that operators publish and nodes apply."""

from teaselpath.bundle._check import check_bundle
from teaselpath.bundle._control import (
    ControlRequest,
    NonceCache,
    open_control,
    sign_control,
)
from teaselpath.bundle._diff import Change, diff_bundles
from teaselpath.bundle._document import (
    Bundle,
    EndpointSpec,
    KeySpec,
    LinkSpec,
    ModelSpec,
    OrderSpec,
    RequestClass,
    Route,
    Workspace,
)
from teaselpath.bundle._faults import FaultCollector, decode_document
from teaselpath.bundle._keys import KeyIndex, KeyMatch, key_digest
from teaselpath.bundle._revocations import (
    RevocationSet,
    RevocationSpec,
    open_revocation,
    sign_revocation,
)
from teaselpath.bundle._signing import (
    OpenedRecord,
    mark_renewal,
    open_record,
    operator_public_key,
    sign_record,
)
from teaselpath.bundle._state import Accepted, BundleState, Rejected, Renewed, Revoked

__all__ = [
    "Accepted",
    "Bundle",
    "BundleState",
    "Change",
    "ControlRequest",
    "EndpointSpec",
    "FaultCollector",
    "KeyIndex",
    "KeyMatch",
    "KeySpec",
    "LinkSpec",
    "ModelSpec",
    "NonceCache",
    "OpenedRecord",
    "OrderSpec",
    "Rejected",
    "Renewed",
    "RequestClass",
    "RevocationSet",
    "RevocationSpec",
    "Revoked",
    "Route",
    "Workspace",
    "check_bundle",
    "decode_document",
    "diff_bundles",
    "key_digest",
    "mark_renewal",
    "open_control",
    "open_record",
    "open_revocation",
    "operator_public_key",
    "sign_control",
    "sign_record",
    "sign_revocation",
]
