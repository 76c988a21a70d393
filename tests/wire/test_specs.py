from __future__ import annotations

import sys
import unittest
from pathlib import Path
from typing import Any

import thriftpy2
from tools.structs import FOLDER, read_specs

from geraniumbend.wire import decode, encode, load_structs
from geraniumbend.wire._specs import SPECS


def _replace_classes(spec: Any) -> Any:
    if isinstance(spec, tuple):
        return tuple(map(_replace_classes, spec))
    return spec.__name__ if isinstance(spec, type) else spec


class StructSpecificationsTest(unittest.TestCase):
    """Guards against a change of an IDL file without `make structs`."""

    def test_specifications_match_the_idl(self):
        for path in sorted(FOLDER.glob("*.thrift")):
            with self.subTest(path.name):
                self.assertEqual(SPECS[path.stem], read_specs(path))

    def test_every_specification_has_an_idl_file(self):
        self.assertEqual(set(SPECS), {path.stem for path in FOLDER.glob("*.thrift")})

    def test_classes_match_those_of_the_parsed_idl_in_fields_and_bytes(self):
        for path in sorted(FOLDER.glob("*.thrift")):
            parsed = thriftpy2.load(str(path), module_name=f"{path.stem}_test_thrift")
            for name in SPECS[path.stem]:
                with self.subTest(struct=f"{path.stem}.{name}"):
                    loaded = getattr(load_structs(path.stem), name)
                    expected = getattr(parsed, name)
                    self.assertEqual(
                        _replace_classes(tuple(loaded.thrift_spec.items())),
                        _replace_classes(tuple(expected.thrift_spec.items())),
                    )
                    self.assertEqual(encode(loaded()), encode(expected()))

    def test_nested_structs_survive_a_round_trip(self):
        structs = load_structs("membership")
        record = structs.RecordDelta(kind="server", key="a", value=b"\x00\xff")
        message = structs.GossipMessage(sender="n", records=[record, record])
        read = decode(structs.GossipMessage, encode(message))
        self.assertEqual((read.sender, read.records), ("n", [record, record]))


class StartWithoutParserTest(unittest.TestCase):
    """Guards against a slow start that parses the IDL files."""

    def test_loading_structs_reads_no_idl_file(self):
        opened: list[str] = []

        def audit(event: str, arguments: tuple[Any, ...]) -> None:
            if event == "open" and str(arguments[0]).endswith(".thrift"):
                opened.append(str(arguments[0]))

        sys.addaudithook(audit)
        for path in Path(FOLDER).glob("*.thrift"):
            load_structs.__wrapped__(path.stem)
        self.assertEqual(opened, [])
