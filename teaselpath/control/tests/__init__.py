"""Tests of teaselpath.control."""
