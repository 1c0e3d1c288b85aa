"""Tests of the lineage of streams."""
