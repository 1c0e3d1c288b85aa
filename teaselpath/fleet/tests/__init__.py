"""Tests of teaselpath.fleet."""
