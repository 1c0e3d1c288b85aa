"""Tests of teaselpath.prefix."""
