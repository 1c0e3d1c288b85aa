"""Tests of teaselpath.entry."""
