"""`silverglade restore` (design 5.8): manual recovery of control after the permanent loss of two cores.

The command works on the data folder of the remaining core, which must be stopped. It makes that core the only source of state: its
store is kept, and its register is set to a view with a much higher epoch, whose other two cores must start with empty disks.
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

EPOCH_INCREMENT = 1000
"""Added to the highest known epoch and ballot number, so that the new ones exceed any that only the lost cores knew."""

CoreOnDisk = tuple[str, str]
"""(name of a core, id of its disk)."""


def add_parsers(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser("restore", help="rebuild control from the one remaining core, which must be stopped")
    parser.add_argument("--data", required=True, help="the data folder of the remaining core")
    parser.add_argument("--name", required=True, help="the name of the remaining core")
    parser.add_argument("--partner", required=True, help="CORE=DISK of an emptied core, as logged by it at startup")
    parser.add_argument("--third", required=True, help="CORE=DISK of the other emptied core")
    parser.add_argument("--yes", action="store_true", help="accept that changes acknowledged by the lost cores alone may be lost")


def plan(
    saved: Mapping[str, Mapping[str, Any]], *, name: str, disk: str, partner: CoreOnDisk, third: CoreOnDisk
) -> tuple[list[DiskOperation], int]:
    """Return the disk operations that make this core the primary of a new view, and the epoch of that view."""
    saved_register = register.read(saved["meta"])
    epoch = (
        max(register.epoch(saved_register.view), register.epoch(saved_register.base), saved["meta"].get("recruited", 0)) + EPOCH_INCREMENT
    )
    view = View(epoch, name, (partner[0],), tuple(sorted([(name, disk), partner, third])))
    restored = register.Register(promised=Ballot(saved_register.promised.number + EPOCH_INCREMENT, name), base=view)
    return [("put", "meta", "reg", restored.stored()), ("put", "meta", "recruited", epoch)], epoch


def parse_core(text: str) -> CoreOnDisk:
    """Parse a core and its disk given as CORE=DISK.

    :raises InvalidCallError: the text has another form.
    """
    core, _, disk = text.partition("=")
    if not core or not disk:
        raise InvalidCallError(f"{text}: must have the form CORE=DISK")
    return core, disk


def run(arguments: argparse.Namespace) -> int:
    """Restore control in the data folder of the remaining core; returns the exit code."""
    partner, third = parse_core(arguments.partner), parse_core(arguments.third)
    if len({arguments.name, partner[0], third[0]}) != 3:
        raise InvalidCallError("the three cores must be different")
    if not arguments.yes:
        raise InvalidCallError("--yes is needed: this overrides the state of the other two cores")
    with closing(DataFolder(folder=arguments.data, name=arguments.name)) as data_folder:
        operations, epoch = plan(data_folder.load(), name=arguments.name, disk=data_folder.id, partner=partner, third=third)
        data_folder.write(operations)
    print(f"view {epoch}: {arguments.name} primary, {partner[0]} backup; start this core, then the two empty ones")
    return 0
