"""Prompts as sequences of parts that requests can share."""

from dataclasses import dataclass
from hashlib import blake2b

# Longest key of a part, in characters.
MAX_KEY_LENGTH = 80


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
    def shared_keys(self) -> tuple[str, ...]:
        """Model and id of each part that other requests can share.

        A long id is replaced by a hash, since callers choose the ids and gateways exchange them.
        """
        return tuple(_part_key(self.model, part.part_id) for part in self.parts[:-1])

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests can share."""
        return sum(part.tokens for part in self.parts[:-1])


def _part_key(model: str, part_id: str) -> str:
    key = f"{model}/{part_id}"
    if len(key) <= MAX_KEY_LENGTH:
        return key
    return "#" + blake2b(key.encode(), digest_size=16).hexdigest()
