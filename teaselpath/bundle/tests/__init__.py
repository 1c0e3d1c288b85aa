"""Tests of teaselpath.bundle."""
