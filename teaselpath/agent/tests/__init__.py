"""Tests of teaselpath.agent."""
