"""Tests of teaselpath.transport."""
