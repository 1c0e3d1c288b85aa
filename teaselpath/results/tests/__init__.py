"""Tests of teaselpath.results."""
