"""Tests of teaselpath.delivery."""
