"""Tests of teaselpath.quota."""
