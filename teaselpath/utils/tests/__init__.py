"""Tests of teaselpath.utils."""
