"""Tests of teaselpath.scheduling."""
