"""Small stand-ins for the outside systems that the router talks to."""

from standins._text import expected_tokens, verify_answer, verify_call

__all__ = ["expected_tokens", "verify_answer", "verify_call"]
