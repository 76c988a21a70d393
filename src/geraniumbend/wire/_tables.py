"""Tables in documents, with the columns named once."""

from __future__ import annotations

from typing import Any, Protocol, TypeVar

import msgspec

from geraniumbend.errors import ConfigurationError, ProtocolError


class NamedEntry(Protocol):
    """An entry of a table."""

    name: str


Entry = TypeVar("Entry", bound=NamedEntry)


class Table(msgspec.Struct):
    """Table with rows of values in the order of the column names."""

    columns: list[str] = []
    rows: list[list[Any]] = []

    def read_entries(self, kind: type[Entry], name: str) -> list[Entry]:
        """Return the rows as entries with unique names; null values are omitted.

        Parameters
        ----------
        kind : type
            Struct class of the entries.
        name : str
            Name of the table in error messages.

        Raises
        ------
        ProtocolError
            If a column occurs twice, a row and the columns differ in length, or a
            value is missing, out of range or of another type.
        ConfigurationError
            If two rows have the same name.
        """
        for number, column in enumerate(self.columns):
            if column in self.columns[:number]:
                raise ProtocolError(
                    f"column {number} of {name}: {column[:60]!r} occurs twice",
                    "name each column once",
                )
        entries: list[Entry] = []
        known: set[str] = set()
        for number, row in enumerate(self.rows):
            entry = self._read_row(row, kind, f"row {number} of {name}")
            if entry.name in known:
                raise ConfigurationError(
                    f"row {number} of {name}: the name {entry.name!r} occurs twice",
                    "give each entry a unique name",
                )
            known.add(entry.name)
            entries.append(entry)
        return entries

    def _read_row(self, row: list[Any], kind: type[Entry], place: str) -> Entry:
        if len(row) != len(self.columns):
            raise ProtocolError(
                f"{place} has {len(row)} values for {len(self.columns)} columns",
                "send one value per column in each row",
            )
        pairs = zip(self.columns, row, strict=True)
        values = {name: value for name, value in pairs if value is not None}
        try:
            return msgspec.convert(values, kind)
        except msgspec.MsgspecError as error:
            raise ProtocolError(
                f"{place} is invalid: {error}",
                "send the documented columns with values of their types",
            ) from error
