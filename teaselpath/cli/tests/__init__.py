"""Tests of teaselpath.cli."""
