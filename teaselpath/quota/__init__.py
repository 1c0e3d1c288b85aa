"""Token buckets, shares, escrow and share tables."""

from teaselpath.quota._bucket import Bucket

__all__ = ["Bucket"]
