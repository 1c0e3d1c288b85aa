"""Tests of teaselpath.history."""
