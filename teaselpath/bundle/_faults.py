"""Type validation of a JSON document that reports all faults instead of only the first.

msgspec stops at the first fault. ``FaultCollector`` validates each field separately and replaces
each faulty value by a placeholder, so that checks across fields can still run on the rest of the
document.
"""

from difflib import get_close_matches
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin

import msgspec

from teaselpath.results import Code, Failure

Document = TypeVar("Document", bound=msgspec.Struct)

_UNITS = (
    ("bytes_per_s", "bytes per second"),
    ("_ms", "milliseconds"),
    ("_s", "seconds"),
    ("_bytes", "bytes"),
    ("_tokens", "tokens"),
    ("rate", "tokens per second"),
    ("burst", "tokens"),
)
_JSON_NAMES = {dict: "object", list: "array", str: "str", bool: "bool", int: "int", float: "float"}


class FaultCollector:
    """Validates values against struct types and collects the faults.

    :param code: result code of each fault.
    """

    def __init__(self, code: Code) -> None:
        self.code = code
        self.faults: list[Failure] = []
        self.faulty_paths: set[str] = set()

    def add(self, path: str, detail: str) -> None:
        """Record a fault unless the value at its path is, or is part of, a placeholder."""
        if not self._is_in_faulty_value(path):
            self.faults.append(Failure(self.code, detail, path=path))

    def check(self, value: Any, expected_type: Any, path: str) -> Any:
        """Convert the value to the expected type, with placeholders for faulty values."""
        bare_type = _strip_annotated(expected_type)
        if get_origin(bare_type) is list:
            return self._check_list(value, expected_type, path)
        if isinstance(bare_type, type) and issubclass(bare_type, msgspec.Struct):
            return self._check_struct(value, bare_type, path)
        try:
            return msgspec.convert(value, expected_type)
        except msgspec.ValidationError as error:
            self._mark_faulty(path, _error_text(error) + _unit(path.rsplit(".", 1)[-1]))
            return _placeholder(expected_type, path)

    def _check_struct(self, value: Any, expected_type: type[Document], path: str) -> Document:
        if not isinstance(value, dict):
            self._mark_faulty(path, f"expected an object, got {_json_name(value)}")
            value = {}
        fields = {field.encode_name: field for field in msgspec.structs.fields(expected_type)}
        for name in value:
            if name not in fields:
                self.add(f"{path}.{name}", _unknown_field(name, list(fields)))
        checked = {}
        for name, field in fields.items():
            field_path = f"{path}.{name}"
            if name in value:
                checked[field.name] = self.check(value[name], field.type, field_path)
            elif field.required:
                self._mark_faulty(field_path, f"required field is missing{_unit(name)}")
                checked[field.name] = _placeholder(field.type, field_path)
        return expected_type(**checked)

    def _check_list(self, value: Any, expected_type: Any, path: str) -> list[Any]:
        if not isinstance(value, list):
            self._mark_faulty(path, f"expected an array, got {_json_name(value)}")
            return []
        (item_type,) = get_args(_strip_annotated(expected_type))
        items = [self.check(item, item_type, f"{path}[{i}]") for i, item in enumerate(value)]
        for meta in getattr(expected_type, "__metadata__", ()):
            if meta.min_length and len(value) < meta.min_length:
                self._mark_faulty(
                    path, f"expected at least {meta.min_length} items, got {len(value)}"
                )
        return items

    def _mark_faulty(self, path: str, detail: str) -> None:
        self.add(path, detail)
        self.faulty_paths.add(path)

    def _is_in_faulty_value(self, path: str) -> bool:
        while path:
            if path in self.faulty_paths:
                return True
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return False


def decode_document(
    data: bytes, document: type[Document], collector: FaultCollector
) -> Document | None:
    """Decode a JSON document; faulty values are reported and replaced by placeholders.

    :returns: the document, or None if the data is not a JSON object.
    """
    try:
        return msgspec.json.decode(data, type=document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        pass  # the collector validates each field below and reports all faults
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        collector.add("$", f"not valid JSON: {error}")
        return None
    if not isinstance(raw, dict):
        collector.add("$", f"expected an object, got {_json_name(raw)}")
        return None
    return collector.check(raw, document, "$")


def _strip_annotated(expected_type: Any) -> Any:
    return get_args(expected_type)[0] if get_origin(expected_type) is Annotated else expected_type


def _placeholder(expected_type: Any, path: str) -> Any:
    """Return a value of the expected type; strings are unique, so that none is a duplicate."""
    bare_type = _strip_annotated(expected_type)
    if get_origin(bare_type) is Literal:
        return get_args(bare_type)[0]
    if get_origin(bare_type) is list:
        return []
    if isinstance(bare_type, type) and issubclass(bare_type, msgspec.Struct):
        fields = msgspec.structs.fields(bare_type)
        return bare_type(**{f.name: _placeholder(f.type, f"{path}.{f.name}") for f in fields})
    return {str: f"\0{path}", int: 1, float: 1.0, bool: False}.get(bare_type)


def _json_name(value: Any) -> str:
    return _JSON_NAMES.get(type(value), "null")


def _error_text(error: msgspec.ValidationError) -> str:
    text = str(error).split(" - at `$", 1)[0]
    return text[:1].lower() + text[1:]


def _unit(name: str) -> str:
    unit = next((unit for suffix, unit in _UNITS if name.endswith(suffix)), "")
    return f" (unit: {unit})" if unit else ""


def _unknown_field(name: str, known: list[str]) -> str:
    matches = get_close_matches(name, known, n=1)
    return (
        f"unknown field; did you mean {matches[0]}{_unit(matches[0])}?"
        if matches
        else "unknown field"
    )
