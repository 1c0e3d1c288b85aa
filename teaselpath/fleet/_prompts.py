"""Prompts as chains of parts that requests share."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """What a request says about its prompt.

    :param parts: in order; the last one belongs to the request or its session.
    :param output_tokens: maximum number of tokens to generate.
    """

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])
