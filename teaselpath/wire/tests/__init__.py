"""Tests of teaselpath.wire."""
