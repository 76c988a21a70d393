"""Conversion between model values and documents."""

from __future__ import annotations

import types
import typing
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from geraniumbend.errors import ConfigurationError

T = TypeVar("T")


def describe(value: Any) -> dict[str, Any]:
    """Convert a model value to a document; fields at their default are omitted.

    Parameters
    ----------
    value : NamedTuple
        Value of `geraniumbend.model` or an operation.

    Returns
    -------
    dict
        Document that JSON and TOML can represent, with keys in the model's order.
    """
    defaults = value._field_defaults
    return {
        name: _describe_field(field)
        for name, field in zip(value._fields, value, strict=True)
        if name not in defaults or field != defaults[name]
    }


def parse(
    kind: type[T],
    document: Any,
    context: str,
    strict: bool = True,
    other_keys: tuple[str, ...] = (),
) -> T:
    """Convert a document to a model value.

    Parameters
    ----------
    kind : type
        NamedTuple class of `geraniumbend.model` or of an operation.
    document : object
        Output of `describe`, or a document written by an operator.
    context : str
        Name of the document in error messages.
    strict : bool, default=True
        Whether an unknown key is an error. Replicated state is parsed with False,
        so that entries written by a newer version can be read.
    other_keys : tuple of str, default=()
        Keys that operators may write and that were replaced before.

    Returns
    -------
    object
        Instance of `kind`.

    Raises
    ------
    ConfigurationError
        If a key is unknown or missing, or a value has the wrong type.
    """
    named_tuple: Any = kind
    try:
        struct_type = _build_struct_type(named_tuple, strict)
        return _build_named_tuple(named_tuple, msgspec.convert(document, struct_type))
    except msgspec.ValidationError as error:
        raise _build_error(kind, context, str(error), other_keys) from error


@cache
def _get_annotations(kind: Any) -> dict[str, Any]:
    """Return the resolved annotations of a class; cached because resolving is slow."""
    return get_type_hints(kind)


@cache
def _build_struct_type(kind: Any, strict: bool) -> Any:
    """Return a msgspec struct class with the fields of a NamedTuple class."""
    hints = _get_annotations(kind)
    fields: list[Any] = []
    for name in kind._fields:
        annotation = _convert_annotation(hints[name], strict)
        if name not in kind._field_defaults:
            fields.append((name, annotation))
        elif _is_named_tuple(hints[name]):
            fields.append((name, annotation, msgspec.field(default_factory=annotation)))
        else:
            fields.append((name, annotation, kind._field_defaults[name]))
    return msgspec.defstruct(
        kind.__name__, fields, forbid_unknown_fields=strict, frozen=True, kw_only=True
    )


def _convert_annotation(annotation: Any, strict: bool) -> Any:
    """Replace NamedTuple classes in an annotation by their struct classes."""
    if _is_named_tuple(annotation):
        return _build_struct_type(annotation, strict)
    if get_origin(annotation) is tuple and _is_named_tuple(get_args(annotation)[0]):
        return list[_build_struct_type(get_args(annotation)[0], strict)]  # type: ignore[misc]
    if get_origin(annotation) in (Union, types.UnionType):
        parts = tuple(
            _convert_annotation(part, strict) for part in get_args(annotation)
        )
        return Union[parts]  # noqa: UP007
    return annotation


def _build_named_tuple(kind: Any, struct: Any) -> Any:
    """Convert a struct of `_build_struct_type` to the NamedTuple class."""
    hints = _get_annotations(kind)
    values = {}
    for name in kind._fields:
        value = getattr(struct, name)
        if isinstance(value, msgspec.Struct):
            value = _build_named_tuple(_named_tuple_in(hints[name]), value)
        elif isinstance(value, list):
            entry = _named_tuple_in(hints[name])
            value = tuple(_build_named_tuple(entry, part) for part in value)
        values[name] = value
    return kind(**values)


def _named_tuple_in(annotation: Any) -> Any:
    if _is_named_tuple(annotation):
        return annotation
    return next(part for part in get_args(annotation) if _is_named_tuple(part))


def _is_named_tuple(annotation: Any) -> bool:
    return isinstance(annotation, type) and hasattr(annotation, "_fields")


def _describe_field(value: Any) -> Any:
    if hasattr(value, "_fields"):
        return describe(value)
    if isinstance(value, tuple):
        return [_describe_field(part) for part in value]
    if isinstance(value, dict):
        return dict(sorted(value.items()))
    return value


def _build_error(
    kind: Any, context: str, problem: str, other_keys: tuple[str, ...]
) -> ConfigurationError:
    """Build an error from the text of a msgspec error, with the nearest known key."""
    message, _, path = problem.partition(" - at `$.")
    path = path.rstrip("`")
    where = f"{context}, {path}" if path else context
    unknown = message.partition("unknown field `")[2].rstrip("`")
    remedy = "correct the value; see the configuration reference for all keys"
    if unknown:
        from difflib import get_close_matches

        matches = get_close_matches(unknown, [*_known_keys(kind), *other_keys], n=1)
        remedy = f"did you mean {matches[0]!r}" if matches else "remove the key"
    return ConfigurationError(f"{where}: {message}", remedy)


def _known_keys(kind: Any) -> list[str]:
    keys = list(kind._fields)
    for annotation in typing.get_type_hints(kind).values():
        for part in (annotation, *get_args(annotation)):
            if _is_named_tuple(part):
                keys.extend(_known_keys(part))
    return keys
