"""Tests of teaselpath.clients."""
