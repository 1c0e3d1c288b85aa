"""Tests of teaselpath.records."""
