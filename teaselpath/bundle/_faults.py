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

    def check(self, value: Any, kind: Any, path: str) -> Any:
        """Convert the value to type ``kind``, with placeholders for faulty values."""
        plain = _strip_annotated(kind)
        if get_origin(plain) is list:
            return self._check_list(value, kind, path)
        if isinstance(plain, type) and issubclass(plain, msgspec.Struct):
            return self._check_struct(value, plain, path)
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            self._mark_faulty(path, _error_text(error) + _unit(path.rsplit(".", 1)[-1]))
            return _placeholder(kind, path)

    def _check_struct(self, value: Any, kind: type[Document], path: str) -> Document:
        if not isinstance(value, dict):
            self._mark_faulty(path, f"expected an object, got {_json_name(value)}")
            value = {}
        fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
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
        return kind(**checked)

    def _check_list(self, value: Any, kind: Any, path: str) -> list[Any]:
        if not isinstance(value, list):
            self._mark_faulty(path, f"expected an array, got {_json_name(value)}")
            return []
        (item_kind,) = get_args(_strip_annotated(kind))
        items = [self.check(item, item_kind, f"{path}[{i}]") for i, item in enumerate(value)]
        for meta in getattr(kind, "__metadata__", ()):
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


def _strip_annotated(kind: Any) -> Any:
    return get_args(kind)[0] if get_origin(kind) is Annotated else kind


def _placeholder(kind: Any, path: str) -> Any:
    """Return a value of type ``kind``; strings are unique, so that no duplicate is reported."""
    plain = _strip_annotated(kind)
    if get_origin(plain) is Literal:
        return get_args(plain)[0]
    if get_origin(plain) is list:
        return []
    if isinstance(plain, type) and issubclass(plain, msgspec.Struct):
        fields = msgspec.structs.fields(plain)
        return plain(**{f.name: _placeholder(f.type, f"{path}.{f.name}") for f in fields})
    return {str: f"\0{path}", int: 1, float: 1.0, bool: False}.get(plain)


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
