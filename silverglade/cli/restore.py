"""`silverglade restore` (design 5.8): the operator's deliberate way when two cores are lost.

Works on the stopped core's folder. It makes that core the sole source: its store is kept, the register is set to a view of a far
higher epoch with fresh partners, which must come up empty.
"""

from __future__ import annotations

import argparse
from collections.abc import Mapping
from contextlib import closing
from typing import Any

from ..control import register
from ..control.view import Ballot, View
from ..runtime.effects import DiskOperation
from ..runtime.errors import InvalidCallError
from ..server.disk import DataFolder

EPOCH_LEAP = 1000
"""The new view's epoch, and the promised ballot's number, lie so far above all that were known."""

CoreOnDisk = tuple[str, str]
"""A core's name and its disk's id."""


def add_parsers(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("restore", help="rebuild control from the one core that is left (stopped)")
    parser.add_argument("--data", required=True, help="the data folder of the core that is left")
    parser.add_argument("--name", required=True, help="its name")
    parser.add_argument("--partner", required=True, help="CORE=DISK of an emptied core, as its log's start line says")
    parser.add_argument("--third", required=True, help="CORE=DISK of the other emptied core")
    parser.add_argument("--yes", action="store_true", help="changes acknowledged by the lost cores alone may be gone")


def plan(
    saved: Mapping[str, Mapping[str, Any]], *, name: str, disk: str, partner: CoreOnDisk, third: CoreOnDisk
) -> tuple[list[DiskOperation], int]:
    """Return the writes that make this core primary of a new view, and that view's epoch."""
    known = register.read(saved["meta"])
    epoch = max(register.epoch(known.view), register.epoch(known.base), saved["meta"].get("recruited", 0)) + EPOCH_LEAP
    view = View(epoch, name, (partner[0],), tuple(sorted([(name, disk), partner, third])))
    restored = register.Register(promised=Ballot(known.promised.number + EPOCH_LEAP, name), base=view)
    return [("put", "meta", "reg", restored.stored()), ("put", "meta", "recruited", epoch)], epoch


def parse_core(text: str) -> CoreOnDisk:
    """Return a core and its disk, given as CORE=DISK.

    :raises InvalidCallError: it has another form.
    """
    core, _, disk = text.partition("=")
    if not core or not disk:
        raise InvalidCallError(f"{text}: wants CORE=DISK")
    return core, disk


def run(arguments: argparse.Namespace) -> int:
    """Restore control on the folder that is named."""
    partner, third = parse_core(arguments.partner), parse_core(arguments.third)
    if len({arguments.name, partner[0], third[0]}) != 3:
        raise InvalidCallError("three different cores are wanted")
    if not arguments.yes:
        raise InvalidCallError("say --yes: this overrides the other two cores")
    with closing(DataFolder(folder=arguments.data, name=arguments.name)) as data_folder:
        operations, epoch = plan(data_folder.load(), name=arguments.name, disk=data_folder.id, partner=partner, third=third)
        data_folder.write(operations)
    print(f"view {epoch}: {arguments.name} primary, {partner[0]} backup; start this core, then the two empty ones")
    return 0
