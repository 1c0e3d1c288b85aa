"""Decisions on the exchange of gateways with the store and with each other, without I/O."""

from teaselpath.exchange._polls import TopicPolls

__all__ = ["TopicPolls"]
