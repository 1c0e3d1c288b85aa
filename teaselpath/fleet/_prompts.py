"""Prompts as sequences of parts that requests can share."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A section of a prompt, identified by its id; requests can share all parts but the last."""

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Prompt of a request, as declared by the caller.

    :param parts: parts in order; the last one is specific to the request or its session.
    :param output_tokens: maximum number of tokens to generate.
    """

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests can share."""
        return sum(part.tokens for part in self.parts[:-1])
