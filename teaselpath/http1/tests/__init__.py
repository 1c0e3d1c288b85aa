"""Tests of teaselpath.http1."""
