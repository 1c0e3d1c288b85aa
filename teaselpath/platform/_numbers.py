"""Numbers in what the platform's processes write."""

from typing import Annotated

import msgspec

# Largest number that every writer and reader of JSON keeps exact.
MAX_COUNT = 2**53 - 1

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
