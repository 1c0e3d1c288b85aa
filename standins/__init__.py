"""Simulated external systems for demo, tests and benchmarks of the router."""

from standins._text import expected_tokens, verify_answer, verify_call

__all__ = ["expected_tokens", "verify_answer", "verify_call"]
