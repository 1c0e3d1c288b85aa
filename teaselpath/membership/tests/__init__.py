"""Tests of teaselpath.membership."""
