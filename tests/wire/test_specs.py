from __future__ import annotations

import sys
import unittest
from pathlib import Path
from typing import Any

import thriftpy2
from tools.structs import FOLDER, read_specs

from geraniumbend.wire import decode, encode, load_structs
from geraniumbend.wire._specs import SPECS


def _describe(spec: Any) -> Any:
    if isinstance(spec, tuple):
        return tuple(map(_describe, spec))
    return spec.__name__ if isinstance(spec, type) else spec


class StructSpecificationsTest(unittest.TestCase):
    """Guards against an IDL that was changed without `make structs`."""

    def test_specifications_are_those_of_the_idl(self):
        for path in sorted(FOLDER.glob("*.thrift")):
            with self.subTest(path.name):
                self.assertEqual(SPECS[path.stem], read_specs(path))

    def test_no_specification_is_left_without_idl(self):
        self.assertEqual(set(SPECS), {path.stem for path in FOLDER.glob("*.thrift")})

    def test_classes_have_the_fields_and_bytes_of_parsed_ones(self):
        for path in sorted(FOLDER.glob("*.thrift")):
            parsed = thriftpy2.load(str(path), module_name=f"{path.stem}_test_thrift")
            for name in SPECS[path.stem]:
                with self.subTest(struct=f"{path.stem}.{name}"):
                    kind = getattr(load_structs(path.stem), name)
                    other = getattr(parsed, name)
                    self.assertEqual(
                        _describe(tuple(kind.thrift_spec.items())),
                        _describe(tuple(other.thrift_spec.items())),
                    )
                    self.assertEqual(encode(kind()), encode(other()))

    def test_nested_structs_survive_a_round_trip(self):
        structs = load_structs("membership")
        record = structs.RecordDelta(kind="server", key="a", value=b"\x00\xff")
        message = structs.GossipMessage(sender="n", records=[record, record])
        read = decode(structs.GossipMessage, encode(message))
        self.assertEqual((read.sender, read.records), ("n", [record, record]))


class StartWithoutParserTest(unittest.TestCase):
    """Guards against a start that parses the IDL files again."""

    def test_loading_structs_reads_no_idl_file(self):
        opened: list[str] = []

        def audit(event: str, arguments: tuple[Any, ...]) -> None:
            if event == "open" and str(arguments[0]).endswith(".thrift"):
                opened.append(str(arguments[0]))

        sys.addaudithook(audit)
        for path in Path(FOLDER).glob("*.thrift"):
            load_structs.__wrapped__(path.stem)
        self.assertEqual(opened, [])
