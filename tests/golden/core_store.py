"""A data folder from the recorded rows, and the state that a core and its follower reach from it, in names fixed here."""

import json
import pathlib
import random
import sqlite3
from datetime import timedelta

import ormsgpack

from silverglade.control.core import control_component
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.server.disk import DATABASE_FILE, DataFolder
from silverglade.tenant_shards.follower import ClaimFollower

DATA = pathlib.Path(__file__).parent / "data"
RECORDED, EXPECTED = DATA / "core_store.json", DATA / "core_store_expected.json"
NAME = "core"
NOW = timedelta(seconds=100)


def recorded():
    return json.loads(RECORDED.read_text(encoding="utf-8"))


def write_file(folder):
    """The file as the recorded program left it, without a line of the program's own code."""
    data = recorded()
    db = sqlite3.connect(pathlib.Path(folder) / DATABASE_FILE)
    db.execute(f"PRAGMA application_id={data['layout']['application_id']}")
    db.execute(f"PRAGMA user_version={data['layout']['user_version']}")
    db.execute(data["layout"]["schema"])
    db.executemany("INSERT INTO kv VALUES (?, ?, ?)", [(table, key, bytes.fromhex(value)) for table, key, value in data["rows"]])
    db.commit()
    db.close()


def listed(value):
    """A value as JSON has it: arrays are lists."""
    return json.loads(json.dumps(value))


def register_of(register):
    return {
        "highest ballot promised": register.promised,
        "newest view known to be chosen": register.base,
        "ballot accepted": register.accepted,
        "view accepted": register.view,
    }


def control_of(state, settings):
    """The only place that knows how a core's state names its fields."""
    return {
        "name": settings.name,
        "disk": settings.disk,
        "may form the first view": settings.may_form,
        "formed before": settings.formed_before,
        "register": register_of(state.register),
        "view": state.view,
        "epoch sealed": state.sealed,
        "epoch recruited for": state.recruited,
        "epoch served": state.store_epoch,
        "stored items": state.store,
        "items that may be told": state.committed_items,
        "version up to which they may be told": state.committed_version,
    }


def follower_answers(name, saved, opt):
    """What a follower says of each shard to an owner that adopts it: the shard's epoch, and every claim."""
    part, answers = MachineComponent(ClaimFollower(own_name=name, saved=saved, tuning=opt)), {}
    for shard, epoch in sorted(saved["shard"].items()):
        for effect in part.send((NOW, ("msg", "owner", ("adopt", shard, epoch)))):
            if effect[0] == "disk":
                answers[shard] = [sent[2] for sent in part.send((NOW, ("disk", effect[1], True, None))) if sent[0] == "send"]
    return answers


def state_reached(folder):
    """Open the file by the program's own reading path, start a core and a follower from it -> their states."""
    write_file(folder)
    data, opt = recorded(), tuning()
    store = DataFolder(folder=folder, name=data[NAME])
    try:
        saved, disk = store.load(), store.id
    finally:
        store.close()
    named = tuple(sorted(witness for witness, _ in saved["meta"]["reg"]["base"][3]))
    part = control_component(name=data[NAME], disk=disk, cores=named, saved=saved, tuning=opt, rng=random.Random(1), first=False)
    return listed(
        {
            "control": control_of(part.machine.state, part.machine.settings),
            "follower": follower_answers(data[NAME], saved, opt),
        }
    )


def values():
    """Rows of the file with their values unpacked."""
    return [(table, key, ormsgpack.unpackb(bytes.fromhex(value))) for table, key, value in recorded()["rows"]]
