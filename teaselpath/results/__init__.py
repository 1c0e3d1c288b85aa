"""Numbered result codes and the failure value that carries them."""

from teaselpath.results._codes import Code, Ran, http_status
from teaselpath.results._failure import Failure

__all__ = ["Code", "Failure", "Ran", "http_status"]
