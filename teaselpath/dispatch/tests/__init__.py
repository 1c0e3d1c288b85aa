"""Tests of teaselpath.dispatch."""
