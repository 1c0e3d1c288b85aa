"""The entry: HTTP server for callers, and routing of each request."""

from teaselpath.entry._app import EntryApp
from teaselpath.entry._service import EntryService

__all__ = ["EntryApp", "EntryService"]
