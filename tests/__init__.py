"""Tests of several parts together."""
