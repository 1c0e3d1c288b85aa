"""Tests of the exchange."""
