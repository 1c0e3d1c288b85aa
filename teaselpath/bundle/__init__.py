"""Bundles: the configuration that operators sign and every node puts in force."""

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

__all__ = [
    "Bundle",
    "EndpointSpec",
    "KeySpec",
    "LinkSpec",
    "ModelSpec",
    "OrderSpec",
    "RequestClass",
    "Route",
    "Workspace",
]
