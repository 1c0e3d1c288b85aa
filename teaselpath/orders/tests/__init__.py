"""Tests of teaselpath.orders."""
