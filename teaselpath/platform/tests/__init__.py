"""Tests of teaselpath.platform."""
