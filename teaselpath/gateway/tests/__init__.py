"""Tests of teaselpath.gateway."""
