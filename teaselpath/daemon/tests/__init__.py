"""Tests of teaselpath.daemon."""
