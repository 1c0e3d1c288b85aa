"""Tests of teaselpath.settings."""
