"""Tests that docs/errors.md and docs/configuration.md agree with the code, in both directions."""

import re
from pathlib import Path
from typing import Annotated, Literal, get_args, get_origin

import msgspec
import pytest

from teaselpath.bundle import Bundle, RevocationSpec
from teaselpath.clients import Settings
from teaselpath.results import Code

DOCS = Path(__file__).parents[3] / "docs"
JSON_TYPES = {str: "string", int: "integer", float: "number", bool: "boolean"}


def plain(kind):
    """Return the type without its value range."""
    return get_args(kind)[0] if get_origin(kind) is Annotated else kind


def type_name(kind):
    """Return the type as the page writes it."""
    kind = plain(kind)
    if get_origin(kind) is list:
        return f"list of {type_name(get_args(kind)[0])}"
    if get_origin(kind) is Literal:
        values = get_args(kind)
        return " or ".join(f"`{value}`" for value in values)
    return JSON_TYPES.get(kind, "object")


def default_of(field):
    """Return the default as the page writes it."""
    if field.required:
        return "required"
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    if isinstance(default, msgspec.Struct):
        return "`{}`"
    return f"`{msgspec.json.encode(default).decode()}`"


def rows_of(document, prefix=""):
    """Return a mapping of field path to (type, default) for all fields of a document."""
    rows = {}
    for field in msgspec.structs.fields(document):
        path = f"{prefix}{field.encode_name}"
        kind = plain(field.type)
        rows[path] = (type_name(kind), default_of(field))
        if get_origin(kind) is list:
            kind, path = plain(get_args(kind)[0]), f"{path}[]"
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            rows |= rows_of(kind, f"{path}.")
    return rows


def table_rows(page, heading=""):
    """Return the cells of the table rows below a heading."""
    text = (DOCS / page).read_text()
    if heading:
        text = text.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    rows = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    return [row for row in rows if row[0] not in ("---", "field", "code")]


@pytest.mark.parametrize(
    ("heading", "document"),
    [("Bundle", Bundle), ("Settings", Settings), ("Revocation", RevocationSpec)],
)
def test_configuration_page_matches_the_code(heading, document):
    """Guards against fields, types and defaults that only the page or only the code has."""
    documented = {
        row[0].strip("`"): (row[1], row[3]) for row in table_rows("configuration.md", heading)
    }
    assert documented == rows_of(document)


def test_each_field_has_a_meaning_and_the_right_unit():
    """Guards against a documented unit that contradicts the suffix of the field name."""
    units = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}
    for row in table_rows("configuration.md"):
        assert len(row[4]) > 5
        match = re.search(r"(_ms|bytes_per_s|_s|_bytes)`$", row[0])
        if match and match[1] in units:
            assert row[2] == units[match[1]], row[0]


def test_error_page_matches_the_codes():
    """Guards against codes that only the page or only the code has."""
    rows = table_rows("errors.md")
    assert {(int(row[0]), row[1].strip("`")) for row in rows} == {(c.value, c.name) for c in Code}
    assert all(len(cell) > 3 for row in rows for cell in row[2:])
    assert len(rows) == len(Code)
