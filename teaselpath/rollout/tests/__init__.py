"""Tests of teaselpath.rollout."""
