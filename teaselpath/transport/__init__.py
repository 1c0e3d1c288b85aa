"""Messaging between the processes of the system: ZeroMQ over TCP with CURVE."""

from teaselpath.transport._node import Node, PeerLost, Received
from teaselpath.transport._security import CurveKeys, KeyAllowList

__all__ = ["CurveKeys", "KeyAllowList", "Node", "PeerLost", "Received"]
